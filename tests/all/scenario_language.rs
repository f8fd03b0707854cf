//! Checks that the parser reports every mistake in a script, with its line, its
//! column and a description.
//!
//! If the parser skipped unknown words, a scenario would pass without testing
//! what it claims to test.

use libtest_mimic::{Failed, Trial};

/// Valid declarations that precede each mistake; three lines.
const DEPLOYMENT: &str = "pool oracle engine\n\
                    entry e1 domain=d1\n\
                    instance a1 domain=d1 pool=oracle\n";

/// Text of the fourth line, and the start of the error that the parser must report.
const MISTAKES: &[(&str, &str)] = &[
    (
        "at 1s explode e1",
        "line 4, column 7: unknown verb: `explode`",
    ),
    (
        "colour red",
        "line 4, column 1: unknown declaration: `colour`",
    ),
    (
        "at 1s kill e1 now",
        "line 4, column 15: unknown word: `now`",
    ),
    (
        "at 1s request r caller=c entry=e1 colour=red",
        "line 4, column 35: unknown key: `colour`",
    ),
    ("at soon kill e1", "line 4, column 4: "),
    ("at 5h kill e1", "line 4, column 4: "),
    ("at 1s kill e9", "line 4, column 1: "),
    ("at 1s kill", "line 4, column 11: a name is missing"),
    (
        "at 1s request r caller=c",
        "line 4, column 25: `entry=` is missing",
    ),
    (
        "at 1s platform melts",
        "line 4, column 16: unknown fault of the platform: `melts`",
    ),
    (
        "at 1s upstream a1 melts",
        "line 4, column 19: unknown fault of an upstream: `melts`",
    ),
    (
        "at 1s expect joy",
        "line 4, column 14: unknown expectation: `joy`",
    ),
    (
        "at 1s expect failed r code=joy",
        "line 4, column 28: no such code: `joy`",
    ),
    (
        "instance a2 domain=d1 pool=none",
        "line 4, column 28: no such pool declared above: `none`",
    ),
    (
        "pool p3 rocket",
        "line 4, column 9: neither `engine` nor `service`: `rocket`",
    ),
    (
        "at 1s expect event SUN count=0",
        "line 4, column 20: no such kind of event: `SUN`",
    ),
    ("at 1s gone r", "line 4, column 1: no request is called `r`"),
    (
        "at 1s crash-on r",
        "line 4, column 1: no request has the body `r`",
    ),
    (
        "at 1s request r caller=c entry=a1",
        "line 4, column 1: `a1` is no entry",
    ),
    ("at 1s kill 'e1", "line 4, column "),
];

pub(crate) fn trials() -> Vec<Trial> {
    vec![
        Trial::test(
            "scenario_language::each_mistake_is_told",
            check_each_mistake,
        ),
        Trial::test(
            "scenario_language::all_mistakes_are_told",
            check_all_mistakes,
        ),
    ]
}

fn errors(text: &str) -> Vec<String> {
    match scenario::parse(text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.iter().map(ToString::to_string).collect(),
    }
}

fn check_each_mistake() -> Result<(), Failed> {
    for (line, expected) in MISTAKES {
        let found = errors(&format!("{DEPLOYMENT}{line}\n"));
        let matches = found.len() == 1 && found[0].starts_with(expected);
        if !matches {
            return Err(format!("`{line}` gives {found:?}, not `{expected}`").into());
        }
    }
    Ok(())
}

/// A mistake must not hide another one on a later line.
fn check_all_mistakes() -> Result<(), Failed> {
    let found = errors(&format!("{DEPLOYMENT}colour red\nat 1s explode e1\n"));
    let lines = ["line 4, ", "line 5, "];
    let each = found.len() == lines.len()
        && found
            .iter()
            .zip(lines)
            .all(|(error, line)| error.starts_with(line));
    if each {
        return Ok(());
    }
    Err(format!("{found:?}").into())
}
