//! Names on the wire and templates, from the data files.

pub const SETTINGS: &str = include_str!("../data/settings.toml");
pub const CONFIG: &str = include_str!("../data/config.json");
pub const SERVER: &str = include_str!("../data/server.json");
pub const REPORT: &str = include_str!("../data/report.json");
pub const MODEL: &str = include_str!("../data/model.json");

/// The name on the wire of a header, field or variable.
pub fn name(key: &str) -> &'static str {
    let lines = include_str!("../data/names.txt").lines();
    let mut pairs = lines.filter_map(|line| line.split_once(' '));
    pairs.find(|(known, _)| *known == key).map_or("", |(_, name)| name)
}

pub fn fill(template: &str, values: &[(&str, &str)]) -> String {
    let mut text = template.trim_end().to_owned();
    for (key, value) in values {
        text = text.replace(&format!("@{key}@"), value);
    }
    text
}
