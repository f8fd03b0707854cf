//! Formats the results as Markdown tables.

use crate::current::Row;
use crate::fit::{Growth, Series};
use crate::measure::bytes::MessageSize;
use crate::measure::idle::IdleMeasurement;
use crate::measure::outage::Outage;

/// Formats a number with about three significant digits, and thousands
/// separators.
pub fn format_number(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => group_thousands(value.round()),
        v if v >= 10.0 => format!("{value:.1}"),
        v if v >= 0.1 || v == 0.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}

fn group_thousands(value: f64) -> String {
    let digits = format!("{value:.0}");
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

/// Table of the measured series, with their samples and fits.
pub fn series_table(series: &[&Series]) -> String {
    let mut text = String::from(
        "| measured | against | samples (size: cost) | exponent, all / tail | per item |\n\
         |---|---|---|---|---|\n",
    );
    for item in series {
        let samples: Vec<String> = item
            .samples
            .iter()
            .map(|s| format!("{}: {}", format_size(s.size), format_number(s.cost)))
            .collect();
        let basis = match item.growth {
            Growth::Linear => "slope",
            Growth::PowerLaw => "at the largest",
        };
        text.push_str(&format!(
            "| {}, {} | {} | {} | {:.2} / {:.2} | {} {} {basis} |\n",
            item.name,
            item.unit,
            item.size_of,
            samples.join("; "),
            item.exponent(),
            item.tail_exponent(),
            format_number(item.cost_per_item()),
            item.unit,
        ));
    }
    text
}

fn format_size(size: f64) -> String {
    group_thousands(size)
}

/// Table of estimated costs and budgets.
pub fn results_table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| role | quantity | from | result | budget | |\n|---|---|---|---|---|---|\n",
    );
    for row in rows {
        let budget = row.budget.map_or_else(|| "–".to_owned(), format_number);
        let budget_result = match (row.budget, row.exceeds_budget()) {
            (None, _) => String::new(),
            (Some(_), false) => "met".to_owned(),
            (Some(budget), true) => {
                format!("missed, {} ×", format_number(row.result / budget))
            }
        };
        text.push_str(&format!(
            "| {} | {} | {} | {} {} | {budget} | {budget_result} |\n",
            row.role,
            row.quantity,
            row.formula,
            format_number(row.result),
            row.unit,
        ));
    }
    text
}

/// Table of messages with fixed content.
pub fn message_table(messages: &[MessageSize]) -> String {
    let mut text = String::from("| message | bytes |\n|---|---|\n");
    for message in messages {
        text.push_str(&format!("| {} | {} |\n", message.name, message.bytes));
    }
    text
}

/// Table of measurements of idle processes.
pub fn idle_table(measurements: &[IdleMeasurement]) -> String {
    let mut text = String::from(
        "| agents | entries | entry, MB | agent, MB | entry, % of a core | agent, % of a core \
         | link, B/s to the entry | link, B/s from the entry | platform, calls/s \
         | change in force, ms | status, ms | machine's load |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for idle in measurements {
        text.push_str(&format!(
            "| {} | {} | {:.1} | {:.1} | {:.2} | {:.3} | {:.0} | {:.0} | {:.1} | {:.0} | {:.0} | {:.1} |\n",
            idle.agents,
            idle.entries,
            idle.entry_bytes as f64 / 1e6,
            idle.agent_bytes as f64 / 1e6,
            idle.entry_percent,
            idle.agent_percent,
            idle.received_per_link,
            idle.sent_per_link,
            idle.platform_calls_per_s,
            idle.change_ms,
            idle.status_ms,
            idle.load_average,
        ));
    }
    text
}

/// Table of measured outages.
pub fn outage_table(outages: &[Outage]) -> String {
    let mut text = String::from(
        "| agents silent | no new work at any entry, ms | lost at every entry, ms \
         | up again at every entry, ms | bytes per second of one entry, before \
         | while silent | machine's load |\n|---|---|---|---|---|---|---|\n",
    );
    for item in outages {
        text.push_str(&format!(
            "| {} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} |\n",
            item.paused_agents,
            item.suspected_ms,
            item.lost_ms,
            item.recovered_ms,
            item.bytes_per_s_before,
            item.bytes_per_s_during,
            item.load_average,
        ));
    }
    text
}
