//! Results of the load generator.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use super::Workload;
use super::answer::{Outcome, Verdict};

/// Maximum number of descriptions of wrong responses in a report.
const WRONG_KEPT: usize = 8;

/// Results of one or more runs of the load generator.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Duration of the run, or the sum over merged runs.
    pub elapsed_ms: u64,
    /// Results by profile.
    pub profiles: BTreeMap<String, ProfileReport>,
    /// Descriptions of the first wrong responses.
    pub wrong: Vec<String>,
    /// Id of the slowest request among those with a complete response.
    pub slowest_request: String,
    /// Duration of that request.
    pub slowest_ms: u64,
}

/// Results of one profile's requests.
#[derive(Debug, Clone, Serialize)]
pub struct ProfileReport {
    /// All requests.
    pub sent: u64,
    /// Complete and correct responses.
    pub whole: u64,
    /// Complete responses that met every target of their workload.
    pub attained: u64,
    /// Responses that ended cleanly but were incomplete or incorrect.
    pub wrong: u64,
    /// Refusals, by error code and by whether the request ran.
    pub refused: BTreeMap<String, u64>,
    /// Responses that ended with an error, by error code.
    pub broken: BTreeMap<String, u64>,
    /// Requests that were not sent because no connection could be opened.
    pub unreached: u64,
    /// Requests whose connection broke before a response.
    pub disconnected: u64,
    /// Time to the first token.
    pub first_token: Quantiles,
    /// Time between tokens.
    pub between_tokens: Quantiles,
    /// Total time of complete responses.
    pub total: Quantiles,
    #[serde(skip)]
    times: Times,
}

#[derive(Debug, Clone)]
struct Times {
    first: Histogram<u64>,
    between: Histogram<u64>,
    total: Histogram<u64>,
}

/// Quantiles of a duration, in microseconds.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Quantiles {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 95th percentile.
    pub p95_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Maximum.
    pub max_us: u64,
}

impl Quantiles {
    fn of(values: &Histogram<u64>) -> Self {
        Self {
            count: values.len(),
            p50_us: values.value_at_quantile(0.50),
            p95_us: values.value_at_quantile(0.95),
            p99_us: values.value_at_quantile(0.99),
            max_us: values.max(),
        }
    }
}

fn histogram() -> Histogram<u64> {
    // Three significant digits are a valid precision, so this can't fail.
    Histogram::new(3).expect("the precision is valid")
}

fn record(values: &mut Histogram<u64>, time: Duration) {
    let us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    // The histogram resizes as needed, so this can't fail. `saturating_record` would
    // not resize it, and every duration would be reported as 0.
    let _ = values.record(us);
}

impl ProfileReport {
    fn new() -> Self {
        Self {
            sent: 0,
            whole: 0,
            attained: 0,
            wrong: 0,
            refused: BTreeMap::new(),
            broken: BTreeMap::new(),
            unreached: 0,
            disconnected: 0,
            first_token: Quantiles::default(),
            between_tokens: Quantiles::default(),
            total: Quantiles::default(),
            times: Times {
                first: histogram(),
                between: histogram(),
                total: histogram(),
            },
        }
    }

    fn add(&mut self, mix: &Workload, outcome: &Outcome) {
        self.sent += 1;
        match &outcome.verdict {
            Verdict::Whole => {
                self.whole += 1;
                self.attained += u64::from(attained(mix, outcome));
                record(&mut self.times.total, outcome.total);
            }
            Verdict::Wrong(_) => self.wrong += 1,
            Verdict::Refused { code, ran } => {
                let kind = format!("{code} {ran}").trim().to_owned();
                *self.refused.entry(kind).or_default() += 1;
            }
            Verdict::Broken { code } => {
                *self.broken.entry(code.clone()).or_default() += 1;
            }
            Verdict::Unreached => self.unreached += 1,
            Verdict::Disconnected => self.disconnected += 1,
        }
        if let Some(first) = outcome.first_token {
            record(&mut self.times.first, first);
        }
        for gap in &outcome.gaps {
            record(&mut self.times.between, *gap);
        }
    }

    fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.whole += other.whole;
        self.attained += other.attained;
        self.wrong += other.wrong;
        self.unreached += other.unreached;
        self.disconnected += other.disconnected;
        add_counts(&mut self.refused, &other.refused);
        add_counts(&mut self.broken, &other.broken);
        // Both have the same precision and resize as needed, so this can't fail.
        let _ = self.times.first.add(&other.times.first);
        let _ = self.times.between.add(&other.times.between);
        let _ = self.times.total.add(&other.times.total);
    }

    fn refresh(&mut self) {
        self.first_token = Quantiles::of(&self.times.first);
        self.between_tokens = Quantiles::of(&self.times.between);
        self.total = Quantiles::of(&self.times.total);
    }
}

fn add_counts(to: &mut BTreeMap<String, u64>, from: &BTreeMap<String, u64>) {
    for (kind, count) in from {
        *to.entry(kind.clone()).or_default() += count;
    }
}

/// Returns whether a complete response met its workload's targets. The time between
/// tokens is the mean over the response.
fn attained(mix: &Workload, outcome: &Outcome) -> bool {
    let within = |time: Duration, limit_ms: u64| {
        limit_ms == 0 || time <= Duration::from_millis(limit_ms)
    };
    let first = outcome.first_token.unwrap_or(outcome.total);
    let gaps = u32::try_from(outcome.gaps.len()).unwrap_or(u32::MAX).max(1);
    let mean_gap = outcome.gaps.iter().sum::<Duration>() / gaps;
    let timed = !mix.stream || within(first, mix.first_token_ms);
    timed
        && within(mean_gap, mix.between_tokens_ms)
        && within(outcome.total, mix.deadline_ms)
}

impl Report {
    pub(super) fn new(workloads: &[Workload]) -> Self {
        let profiles = workloads
            .iter()
            .map(|mix| (mix.profile.clone(), ProfileReport::new()));
        Self {
            elapsed_ms: 0,
            profiles: profiles.collect(),
            wrong: Vec::new(),
            slowest_request: String::new(),
            slowest_ms: 0,
        }
    }

    pub(super) fn add(&mut self, mix: &Workload, outcome: &Outcome) {
        let profile = self.profiles.entry(mix.profile.clone());
        profile.or_insert_with(ProfileReport::new).add(mix, outcome);
        if let Verdict::Wrong(text) = &outcome.verdict
            && self.wrong.len() < WRONG_KEPT
        {
            self.wrong.push(text.clone());
        }
        let total_ms = u64::try_from(outcome.total.as_millis()).unwrap_or(u64::MAX);
        let whole = outcome.verdict == Verdict::Whole;
        if whole && total_ms > self.slowest_ms && !outcome.request.is_empty() {
            self.slowest_ms = total_ms;
            self.slowest_request = outcome.request.clone();
        }
    }

    /// Adds the results of another run to these.
    pub fn merge(&mut self, other: &Self) {
        self.elapsed_ms += other.elapsed_ms;
        for (name, theirs) in &other.profiles {
            let ours = self.profiles.entry(name.clone());
            ours.or_insert_with(ProfileReport::new).merge(theirs);
        }
        let room = WRONG_KEPT.saturating_sub(self.wrong.len());
        self.wrong.extend(other.wrong.iter().take(room).cloned());
        if other.slowest_ms > self.slowest_ms {
            self.slowest_ms = other.slowest_ms;
            self.slowest_request.clone_from(&other.slowest_request);
        }
        for profile in self.profiles.values_mut() {
            profile.refresh();
        }
    }

    /// Returns the number of wrong responses over all profiles.
    pub fn wrong_answers(&self) -> u64 {
        self.profiles.values().map(|profile| profile.wrong).sum()
    }

    /// Computes the quantiles.
    #[must_use]
    pub(super) fn finished(mut self) -> Self {
        for profile in self.profiles.values_mut() {
            profile.refresh();
        }
        self
    }

    /// Formats the report as a table.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<10}{:>6}{:>6}{:>9}{:>8}{:>7}{:>10}{:>7}{:>6}  {:<20}{}\n",
            "profile",
            "sent",
            "whole",
            "attained",
            "refused",
            "broken",
            "unreached",
            "closed",
            "wrong",
            "1st token ms 50/95",
            "between ms 50/95",
        );
        for (name, profile) in &self.profiles {
            let refused: u64 = profile.refused.values().sum();
            let broken: u64 = profile.broken.values().sum();
            // Writing to a string can't fail.
            let _ = writeln!(
                text,
                "{name:<10}{:>6}{:>6}{:>9}{refused:>8}{broken:>7}{:>10}{:>7}{:>6}  {:<20}{}",
                profile.sent,
                profile.whole,
                profile.attained,
                profile.unreached,
                profile.disconnected,
                profile.wrong,
                pair(&profile.first_token),
                pair(&profile.between_tokens),
            );
        }
        for (name, profile) in &self.profiles {
            for (kind, count) in profile.refused.iter().chain(&profile.broken) {
                let _ = writeln!(text, "  {name}: {count} x {kind}");
            }
        }
        for wrong in &self.wrong {
            let _ = writeln!(text, "  wrong: {wrong}");
        }
        text
    }
}

fn pair(times: &Quantiles) -> String {
    if times.count == 0 {
        return "-".to_owned();
    }
    let ms = |us: u64| us as f64 / 1_000.0;
    format!("{:.1} / {:.1}", ms(times.p50_us), ms(times.p95_us))
}
