//! The results as tables of a page.

use crate::built::Row;
use crate::fit::{Growth, Series};
use crate::measure::bytes::Fixed;
use crate::measure::links::Rest;
use crate::measure::outage::Outage;

/// A number with as many digits as it is known to.
pub fn number(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => grouped(value.round()),
        v if v >= 10.0 => format!("{value:.1}"),
        v if v >= 0.1 || v == 0.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}

fn grouped(value: f64) -> String {
    let digits = format!("{value:.0}");
    let mut text = String::new();
    for (place, digit) in digits.chars().enumerate() {
        if place > 0 && (digits.len() - place).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

/// Measured series: samples and fits.
pub fn slopes(series: &[&Series]) -> String {
    let mut text = String::from(
        "| measured | against | samples (size: cost) | exponent, all / tail | per item |\n\
         |---|---|---|---|---|\n",
    );
    for one in series {
        let samples: Vec<String> = one
            .samples
            .iter()
            .map(|s| format!("{}: {}", number_of_size(s.size), number(s.cost)))
            .collect();
        let per = match one.growth {
            Growth::Line => "slope",
            Growth::Power => "at the largest",
        };
        text.push_str(&format!(
            "| {}, {} | {} | {} | {:.2} / {:.2} | {} {} {per} |\n",
            one.name,
            one.unit,
            one.size_of,
            samples.join("; "),
            one.exponent(),
            one.tail_exponent(),
            number(one.per_item()),
            one.unit,
        ));
    }
    text
}

fn number_of_size(size: f64) -> String {
    grouped(size)
}

/// Rows of results.
pub fn results(rows: &[Row]) -> String {
    let mut text = String::from(
        "| role | quantity | from | result | budget | |\n|---|---|---|---|---|---|\n",
    );
    for row in rows {
        let budget = row.budget.map_or_else(|| "–".to_owned(), number);
        let verdict = match (row.budget, row.is_missed()) {
            (None, _) => String::new(),
            (Some(_), false) => "met".to_owned(),
            (Some(budget), true) => {
                format!("missed, {} ×", number(row.result / budget))
            }
        };
        text.push_str(&format!(
            "| {} | {} | {} | {} {} | {budget} | {verdict} |\n",
            row.role,
            row.quantity,
            row.from,
            number(row.result),
            row.unit,
        ));
    }
    text
}

/// Messages of fixed content.
pub fn fixed(messages: &[Fixed]) -> String {
    let mut text = String::from("| message | bytes |\n|---|---|\n");
    for message in messages {
        text.push_str(&format!("| {} | {} |\n", message.name, message.bytes));
    }
    text
}

/// Real processes at rest.
pub fn links(rests: &[Rest]) -> String {
    let mut text = String::from(
        "| agents | entries | entry, MB | agent, MB | entry, % of a core | agent, % of a core \
         | link, B/s to the entry | link, B/s from the entry | platform, calls/s \
         | change in force, ms | status, ms | machine's load |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for rest in rests {
        text.push_str(&format!(
            "| {} | {} | {:.1} | {:.1} | {:.2} | {:.3} | {:.0} | {:.0} | {:.1} | {:.0} | {:.0} | {:.1} |\n",
            rest.agents,
            rest.entries,
            rest.entry_bytes as f64 / 1e6,
            rest.agent_bytes as f64 / 1e6,
            rest.entry_percent,
            rest.agent_percent,
            rest.received_per_link,
            rest.sent_per_link,
            rest.platform_calls_per_s,
            rest.change_ms,
            rest.status_ms,
            rest.machine_load,
        ));
    }
    text
}

/// Outages between real processes.
pub fn outages(outages: &[Outage]) -> String {
    let mut text = String::from(
        "| agents silent | no new work at any entry, ms | given up by every entry, ms \
         | up again at every entry, ms | bytes a second of one entry, before \
         | while silent | machine's load |\n|---|---|---|---|---|---|---|\n",
    );
    for one in outages {
        text.push_str(&format!(
            "| {} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} |\n",
            one.silent,
            one.suspected_ms,
            one.lost_ms,
            one.back_ms,
            one.bytes_before,
            one.bytes_during,
            one.machine_load,
        ));
    }
    text
}
