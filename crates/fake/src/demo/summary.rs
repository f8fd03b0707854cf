//! Summary of the counters of all processes, beside the load generator's report.

use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::deployment::Deployment;
use super::probe::ProbeClient;
use crate::{engine, service};

/// Counters summed over all processes.
#[derive(Debug, Default)]
pub(super) struct Totals {
    /// Loads and unloads that the agents saw complete.
    loads: u64,
    unloads: u64,
    /// Runs and tokens that the engines counted.
    runs: u64,
    tokens: u64,
    cached_tokens: u64,
    prefilled_tokens: u64,
    /// Loads that exceeded an accelerator's memory; must be 0.
    overcommits: u64,
    /// Requests that ran at the plain services.
    service_requests: u64,
    /// Runs by idempotency key, summed because a request sent twice may run at two
    /// services.
    runs_by_key: BTreeMap<String, u64>,
    /// Processes that did not respond.
    unresponsive: u64,
}

impl Totals {
    /// Reads the counters of every process once.
    pub(super) async fn read(deployment: &Deployment) -> Self {
        let probe = ProbeClient::new();
        let mut totals = Self::default();
        for (name, address) in deployment.operator_addresses() {
            match probe.get(*address, "/metrics").await {
                Some((200, text)) if !name.starts_with("entry") => {
                    totals.loads += parse_counter(&text, "sesame_agent_loads_total");
                    totals.unloads +=
                        parse_counter(&text, "sesame_agent_unloads_total");
                }
                Some(_) => {}
                None => totals.unresponsive += 1,
            }
        }
        for address in &deployment.control_addresses().engines {
            match fetch_counts::<engine::Counts>(&probe, *address).await {
                Some(counts) => totals.add_engine(&counts),
                None => totals.unresponsive += 1,
            }
        }
        for address in &deployment.control_addresses().services {
            match fetch_counts::<service::Counts>(&probe, *address).await {
                Some(counts) => totals.add_service(&counts),
                None => totals.unresponsive += 1,
            }
        }
        totals
    }

    fn add_engine(&mut self, counts: &engine::Counts) {
        self.runs += counts.runs;
        self.tokens += counts.tokens;
        self.cached_tokens += counts.cached_tokens;
        self.prefilled_tokens += counts.prefilled_tokens;
        self.overcommits += counts.overcommits;
    }

    fn add_service(&mut self, counts: &service::Counts) {
        self.service_requests += counts.runs;
        for (key, runs) in &counts.by_key {
            *self.runs_by_key.entry(key.clone()).or_default() += runs;
        }
    }

    fn repeated_requests(&self) -> usize {
        let repeated = self.runs_by_key.values().filter(|runs| **runs > 1);
        repeated.count()
    }

    /// Returns whether no counter shows a violation and every process responded.
    pub(super) fn no_violations(&self) -> bool {
        self.overcommits == 0 && self.repeated_requests() == 0 && self.unresponsive == 0
    }

    /// Formats the totals for the terminal.
    pub(super) fn table(&self) -> String {
        let Self {
            loads,
            unloads,
            runs,
            tokens,
            ..
        } = self;
        let prompt = (self.cached_tokens + self.prefilled_tokens).max(1);
        let cached = self.cached_tokens * 100 / prompt;
        format!(
            "moves: {loads} loads, {unloads} unloads\n\
             engines: {runs} runs, {tokens} tokens, {cached}% of prompt tokens cached\n\
             memory overcommitted: {} times (must be 0)\n\
             service calls: {}, run twice: {} (must be 0)\n\
             processes without an answer: {} (must be 0)\n",
            self.overcommits,
            self.service_requests,
            self.repeated_requests(),
            self.unresponsive
        )
    }
}

async fn fetch_counts<T: DeserializeOwned>(
    probe: &ProbeClient,
    control: SocketAddr,
) -> Option<T> {
    probe.get_json(control, "/control/counts").await
}

/// Returns a counter without labels from a metrics page, or 0 if it is missing.
fn parse_counter(metrics: &str, name: &str) -> u64 {
    let value = metrics.lines().find_map(|line| {
        let (found, value) = line.split_once(' ')?;
        (found == name).then(|| value.trim().parse::<f64>().ok())?
    });
    value.map_or(0, |value| value as u64)
}
