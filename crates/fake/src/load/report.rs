//! Results of the load generator.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use super::Workload;
use super::exchange::{RequestOutcome, Verdict};

/// Maximum number of descriptions of wrong responses in a report.
const WRONG_DESCRIPTIONS_MAX: usize = 8;

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
    histograms: Histograms,
}

#[derive(Debug, Clone)]
struct Histograms {
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
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
    fn from_histogram(values: &Histogram<u64>) -> Self {
        Self {
            count: values.len(),
            p50_us: values.value_at_quantile(0.50),
            p95_us: values.value_at_quantile(0.95),
            p99_us: values.value_at_quantile(0.99),
            max_us: values.max(),
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    // Three significant digits are a valid precision, so this can't fail.
    Histogram::new(3).expect("the precision is valid")
}

fn record_duration(values: &mut Histogram<u64>, time: Duration) {
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
            histograms: Histograms {
                first_token: new_histogram(),
                between_tokens: new_histogram(),
                total: new_histogram(),
            },
        }
    }

    fn add(&mut self, workload: &Workload, outcome: &RequestOutcome) {
        self.sent += 1;
        match &outcome.verdict {
            Verdict::Complete => {
                self.whole += 1;
                self.attained += u64::from(met_targets(workload, outcome));
                record_duration(&mut self.histograms.total, outcome.total);
            }
            Verdict::Wrong(_) => self.wrong += 1,
            Verdict::Refused { code, ran } => {
                let kind = format!("{code} {ran}").trim().to_owned();
                *self.refused.entry(kind).or_default() += 1;
            }
            Verdict::Incomplete { code } => {
                *self.broken.entry(code.clone()).or_default() += 1;
            }
            Verdict::NotConnected => self.unreached += 1,
            Verdict::Disconnected => self.disconnected += 1,
        }
        if let Some(first) = outcome.first_token {
            record_duration(&mut self.histograms.first_token, first);
        }
        for gap in &outcome.token_gaps {
            record_duration(&mut self.histograms.between_tokens, *gap);
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
        let _ = self
            .histograms
            .first_token
            .add(&other.histograms.first_token);
        let _ = self
            .histograms
            .between_tokens
            .add(&other.histograms.between_tokens);
        let _ = self.histograms.total.add(&other.histograms.total);
    }

    fn update_quantiles(&mut self) {
        self.first_token = Quantiles::from_histogram(&self.histograms.first_token);
        self.between_tokens =
            Quantiles::from_histogram(&self.histograms.between_tokens);
        self.total = Quantiles::from_histogram(&self.histograms.total);
    }
}

fn add_counts(to: &mut BTreeMap<String, u64>, from: &BTreeMap<String, u64>) {
    for (kind, count) in from {
        *to.entry(kind.clone()).or_default() += count;
    }
}

/// Returns whether a complete response met its workload's targets. The time between
/// tokens is the mean over the response.
fn met_targets(workload: &Workload, outcome: &RequestOutcome) -> bool {
    let within = |time: Duration, limit_ms: u64| {
        limit_ms == 0 || time <= Duration::from_millis(limit_ms)
    };
    let first = outcome.first_token.unwrap_or(outcome.total);
    let gaps = u32::try_from(outcome.token_gaps.len())
        .unwrap_or(u32::MAX)
        .max(1);
    let mean_gap = outcome.token_gaps.iter().sum::<Duration>() / gaps;
    let first_token_met = !workload.stream || within(first, workload.first_token_ms);
    first_token_met
        && within(mean_gap, workload.between_tokens_ms)
        && within(outcome.total, workload.deadline_ms)
}

impl Report {
    pub(super) fn new(workloads: &[Workload]) -> Self {
        let profiles = workloads
            .iter()
            .map(|workload| (workload.profile.clone(), ProfileReport::new()));
        Self {
            elapsed_ms: 0,
            profiles: profiles.collect(),
            wrong: Vec::new(),
            slowest_request: String::new(),
            slowest_ms: 0,
        }
    }

    pub(super) fn add(&mut self, workload: &Workload, outcome: &RequestOutcome) {
        let profile = self.profiles.entry(workload.profile.clone());
        profile
            .or_insert_with(ProfileReport::new)
            .add(workload, outcome);
        if let Verdict::Wrong(text) = &outcome.verdict
            && self.wrong.len() < WRONG_DESCRIPTIONS_MAX
        {
            self.wrong.push(text.clone());
        }
        let total_ms = u64::try_from(outcome.total.as_millis()).unwrap_or(u64::MAX);
        let complete = outcome.verdict == Verdict::Complete;
        if complete && total_ms > self.slowest_ms && !outcome.request_id.is_empty() {
            self.slowest_ms = total_ms;
            self.slowest_request = outcome.request_id.clone();
        }
    }

    /// Adds the results of another run to these.
    pub fn merge(&mut self, other: &Self) {
        self.elapsed_ms += other.elapsed_ms;
        for (name, other_profile) in &other.profiles {
            let profile = self.profiles.entry(name.clone());
            profile
                .or_insert_with(ProfileReport::new)
                .merge(other_profile);
        }
        let remaining = WRONG_DESCRIPTIONS_MAX.saturating_sub(self.wrong.len());
        self.wrong
            .extend(other.wrong.iter().take(remaining).cloned());
        if other.slowest_ms > self.slowest_ms {
            self.slowest_ms = other.slowest_ms;
            self.slowest_request.clone_from(&other.slowest_request);
        }
        for profile in self.profiles.values_mut() {
            profile.update_quantiles();
        }
    }

    /// Returns the number of wrong responses over all profiles.
    pub fn wrong_responses(&self) -> u64 {
        self.profiles.values().map(|profile| profile.wrong).sum()
    }

    /// Computes the quantiles.
    #[must_use]
    pub(super) fn with_quantiles(mut self) -> Self {
        for profile in self.profiles.values_mut() {
            profile.update_quantiles();
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
                format_p50_p95(&profile.first_token),
                format_p50_p95(&profile.between_tokens),
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

fn format_p50_p95(quantiles: &Quantiles) -> String {
    if quantiles.count == 0 {
        return "-".to_owned();
    }
    let ms = |us: u64| us as f64 / 1_000.0;
    format!("{:.1} / {:.1}", ms(quantiles.p50_us), ms(quantiles.p95_us))
}
