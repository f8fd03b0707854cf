//! Events as text for operators.

use base::ErrorCode;
use schema::timeline::{Event, EventKind};
use std::fmt::Write;

const US_PER_S: u64 = 1_000_000;
const S_PER_DAY: u64 = 86_400;

/// One line for an operator: time in UTC, process, kind, then what is known.
pub fn render(event: &Event) -> String {
    let mut line = time(event.clock_us);
    let kind = EventKind::try_from(event.kind).unwrap_or(EventKind::Unspecified);
    let name = kind.as_str_name().trim_start_matches("EVENT_KIND_");
    add(&mut line, "", &event.process);
    add(&mut line, "", &name.to_ascii_lowercase());
    add(&mut line, "request=", &event.request);
    add(&mut line, "model=", &event.model);
    add(&mut line, "peer=", &event.peer);
    add(&mut line, "code=", &code(event.code));
    add(&mut line, "", &event.detail);
    line
}

fn add(line: &mut String, label: &str, value: &str) {
    if value.is_empty() {
        return;
    }
    line.push(' ');
    line.push_str(label);
    // A line break in a caller's text would look like another event.
    line.extend(value.chars().map(|c| if c.is_control() { ' ' } else { c }));
}

fn code(number: u32) -> String {
    match ErrorCode::from_number(number) {
        Some(code) => format!("{number}/{}", code.name()),
        None if number == 0 => String::new(),
        None => number.to_string(),
    }
}

fn time(clock_us: u64) -> String {
    let seconds = clock_us / US_PER_S;
    let (year, month, day) = date(seconds / S_PER_DAY);
    let within = seconds % S_PER_DAY;
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = write!(
        text,
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{:06}Z",
        within / 3_600,
        within / 60 % 60,
        within % 60,
        clock_us % US_PER_S,
    );
    text
}

/// Year, month and day of a day since the Unix epoch, in the Gregorian
/// calendar.
///
/// Years are counted from March, so that the leap day is a year's last, in eras
/// of 400 years, after which the calendar repeats.
const fn date(days: u64) -> (u64, u64, u64) {
    const DAYS_TO_EPOCH: u64 = 719_468;
    const DAYS_PER_ERA: u64 = 146_097;
    let days = days + DAYS_TO_EPOCH;
    let era = days / DAYS_PER_ERA;
    let of_era = days % DAYS_PER_ERA;
    let year_of_era =
        (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let from_march = (5 * of_year + 2) / 153;
    let day = of_year - (153 * from_march + 2) / 5 + 1;
    let month = if from_march < 10 {
        from_march + 3
    } else {
        from_march - 9
    };
    let year = era * 400 + year_of_era + if month <= 2 { 1 } else { 0 };
    (year, month, day)
}
