//! Formatting of events for operators.

use base::ErrorCode;
use schema::timeline::{Event, EventKind};
use std::fmt::Write;

const US_PER_S: u64 = 1_000_000;
const S_PER_DAY: u64 = 86_400;

/// Formats an event as one line: UTC time, process, kind and the fields that are set.
pub fn render(event: &Event) -> String {
    let mut line = format_time(event.clock_us);
    let kind = EventKind::try_from(event.kind).unwrap_or(EventKind::Unspecified);
    let name = kind.as_str_name().trim_start_matches("EVENT_KIND_");
    push_field(&mut line, "", &event.process);
    push_field(&mut line, "", &name.to_ascii_lowercase());
    push_field(&mut line, "request=", &event.request);
    push_field(&mut line, "model=", &event.model);
    push_field(&mut line, "peer=", &event.peer);
    push_field(&mut line, "code=", &format_code(event.code));
    push_field(&mut line, "", &event.detail);
    line
}

fn push_field(line: &mut String, label: &str, value: &str) {
    if value.is_empty() {
        return;
    }
    line.push(' ');
    line.push_str(label);
    // Text from a caller may contain line breaks, which would look like the start of
    // another event.
    line.extend(value.chars().map(|c| if c.is_control() { ' ' } else { c }));
}

fn format_code(number: u32) -> String {
    match ErrorCode::from_number(number) {
        Some(code) => format!("{number}/{}", code.name()),
        None if number == 0 => String::new(),
        None => number.to_string(),
    }
}

fn format_time(clock_us: u64) -> String {
    let seconds = clock_us / US_PER_S;
    let (year, month, day) = civil_date(seconds / S_PER_DAY);
    let second_of_day = seconds % S_PER_DAY;
    let mut text = String::new();
    // Writing to a `String` never fails.
    let _ = write!(
        text,
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{:06}Z",
        second_of_day / 3_600,
        second_of_day / 60 % 60,
        second_of_day % 60,
        clock_us % US_PER_S,
    );
    text
}

/// Converts days since the Unix epoch to year, month and day in the Gregorian
/// calendar.
///
/// The calculation uses eras of 400 years, after which the calendar repeats, and
/// years that begin in March, so that the leap day is the last day of a year.
const fn civil_date(days: u64) -> (u64, u64, u64) {
    /// Days from 0000-03-01 to 1970-01-01.
    const DAYS_BEFORE_UNIX_EPOCH: u64 = 719_468;
    const DAYS_PER_ERA: u64 = 146_097;
    let days = days + DAYS_BEFORE_UNIX_EPOCH;
    let era = days / DAYS_PER_ERA;
    let day_of_era = days % DAYS_PER_ERA;
    let year_of_era = (day_of_era - day_of_era / 1_460 + day_of_era / 36_524
        - day_of_era / 146_096)
        / 365;
    let day_of_year =
        day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = era * 400 + year_of_era + if month <= 2 { 1 } else { 0 };
    (year, month, day)
}
