//! Shares of workspaces in the upstreams of all services, and reports between entries.

use base::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

use crate::fair_share::{Costs, FairShare, Refusal};

/// Interval between two reports to peers. A workspace over its share is refused first
/// as much later, and each report is a few bytes for each workspace.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Most workspaces of a service in one report: those that used most.
const REPORTED_MAX: usize = 32;

/// Largest cost that a report counts for a workspace, in seconds of its rate. Over all
/// entries its quota admits its rate and, in a moment, its burst.
const REPORTED_COST_MAX_S: f64 = 4.0;

/// Time after which a peer without new reports is forgotten. A restarted peer has a
/// later start time, so its reports count at once.
const PEER_RETENTION_MS: u64 = 30_000;

/// Most peers whose reports are told apart. Reports of others are dropped.
const PEERS_MAX: usize = 2_048;

/// Most requests that a report counts. An entry sends fewer in a second.
const REPORTED_REQUESTS_MAX: u64 = 1_000;

/// What an entry did with the requests to one service since its last report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceReport {
    /// Hash of the service's name, see [`share_hash`].
    pub service: u32,
    /// Number of requests sent to upstreams.
    pub requests: u64,
    /// The workspaces of which it had requests.
    pub workspaces: Vec<WorkspaceReport>,
}

/// Costs of a workspace's requests, in tokens or requests as its quota counts them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkspaceReport {
    /// Hash of the workspace's name, see [`share_hash`].
    pub workspace: u32,
    /// Cost of those sent to upstreams.
    pub served: u64,
    /// Cost of those refused for lack of capacity.
    pub refused: u64,
    /// Cost of those refused because the workspace is over its share.
    pub held_back: u64,
}

/// A report to all peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareReport {
    /// Number of the report; increases within a process. A report that arrives twice
    /// counts once.
    pub number: u64,
    /// The services that were used.
    pub services: Vec<ServiceReport>,
}

/// Hash of the name of a service or workspace in reports.
pub fn share_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Shares of the workspaces with quotas in the upstreams of each service.
///
/// It has no effect on workspaces without quotas: they are never over their share, rank
/// first and aren't counted.
#[derive(Debug, Default)]
pub struct FairShares {
    /// Weights of workspaces: the rates of their quotas.
    weights: HashMap<Arc<str>, f64>,
    /// Workspaces by the hash of their name; `None` if two share it.
    names: HashMap<u32, Option<Arc<str>>>,
    services: BTreeMap<Arc<str>, FairShare>,
    /// Start time, number and time of the last report of each peer.
    peers: HashMap<String, (u64, u64, Instant)>,
    /// The last report, the message round for which it was made, and when.
    reported: Option<(ShareReport, u64, Instant)>,
}

impl FairShares {
    /// Creates shares without any workspaces.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the services of a configuration, and the rates of the workspaces that
    /// have a quota. Rates that aren't positive numbers are left out.
    pub fn configure<'a>(
        &mut self,
        services: impl IntoIterator<Item = &'a Arc<str>>,
        rates: impl IntoIterator<Item = (&'a Arc<str>, f64)>,
    ) {
        let rates = rates.into_iter();
        self.weights = rates
            .filter(|(_, rate)| rate.is_finite() && *rate > 0.0)
            .map(|(name, rate)| (Arc::clone(name), rate))
            .collect();
        self.names.clear();
        for name in self.weights.keys() {
            self.names
                .entry(share_hash(name))
                .and_modify(|known| *known = None)
                .or_insert_with(|| Some(Arc::clone(name)));
        }
        let mut old = std::mem::take(&mut self.services);
        for service in services {
            let mut shares = old.remove(service).unwrap_or_default();
            shares.set_weights(|name| self.weights.get(name).copied());
            self.services.insert(Arc::clone(service), shares);
        }
    }

    /// Rank of a workspace's next request to a service; lower goes first. It changes
    /// with each [`Self::charge`], so that it is asked for when a request is to be
    /// chosen.
    pub fn rank(&self, service: &str, workspace: &str) -> u64 {
        if !self.weights.contains_key(workspace) {
            return 0;
        }
        let shares = self.services.get(service);
        shares.map_or(0, |shares| shares.rank(workspace))
    }

    /// Records that a request was sent to an upstream.
    pub fn charge(&mut self, now: Instant, service: &str, workspace: &str, cost: f64) {
        if let Some((shares, name, weight)) = self.find(service, workspace, cost) {
            shares.charge(now, (&name, weight), cost);
        }
    }

    /// Records that a request was refused for lack of capacity.
    pub fn record_refused(
        &mut self,
        now: Instant,
        service: &str,
        workspace: &str,
        cost: f64,
    ) {
        if let Some((shares, name, weight)) = self.find(service, workspace, cost) {
            shares.record_refused(now, (&name, weight), cost, Refusal::NoCapacity);
        }
    }

    /// Records that a request was refused because its workspace is over its share.
    pub fn record_held_back(
        &mut self,
        now: Instant,
        service: &str,
        workspace: &str,
        cost: f64,
    ) {
        if let Some((shares, name, weight)) = self.find(service, workspace, cost) {
            shares.record_refused(now, (&name, weight), cost, Refusal::OverShare);
        }
    }

    /// Whether a workspace sent clearly more than its weighted share of a service's
    /// requests in the last seconds and was served more than its share, while requests
    /// of others were refused for lack of capacity.
    pub fn is_over_share(
        &mut self,
        now: Instant,
        service: &str,
        workspace: &str,
    ) -> bool {
        let shares = self.services.get_mut(service);
        shares.is_some_and(|shares| shares.is_over_share(now, workspace))
    }

    /// Returns the report that the messages of a round carry; `None` if none is due or
    /// there is nothing to report. All messages of a round get the same one.
    pub fn report(&mut self, now: Instant, round: u64) -> Option<&ShareReport> {
        let last = self.reported.as_ref();
        let (number, is_due) = last.map_or((0, true), |(report, made_for, at)| {
            let is_due = *made_for != round && now.ms_since(*at) >= REPORT_INTERVAL_MS;
            (report.number, is_due)
        });
        if is_due {
            self.peers
                .retain(|_, (_, _, at)| now.ms_since(*at) < PEER_RETENTION_MS);
            let services = self.services.iter_mut();
            let services =
                services.filter_map(|(name, shares)| report_of(name, shares));
            let report = ShareReport {
                number: number + 1,
                services: services.collect(),
            };
            self.reported = Some((report, round, now));
        }
        let (report, made_for, _) = self.reported.as_ref()?;
        (*made_for == round && !report.services.is_empty()).then_some(report)
    }

    /// Counts the report of a peer, whose process started at `started_unix_ms`. A report
    /// that arrived before is dropped, as are services and workspaces that are unknown.
    pub fn receive(
        &mut self,
        now: Instant,
        peer: &str,
        started_unix_ms: u64,
        report: &ShareReport,
    ) {
        let last = self.peers.get(peer);
        let is_repeated = last.is_some_and(|(started, number, _)| {
            (started_unix_ms, report.number) <= (*started, *number)
        });
        if is_repeated || (last.is_none() && self.peers.len() >= PEERS_MAX) {
            return;
        }
        let state = (started_unix_ms, report.number, now);
        self.peers.insert(peer.to_owned(), state);
        for (service, shares) in &mut self.services {
            let hash = share_hash(service);
            let of_service = report.services.iter().find(|part| part.service == hash);
            let Some(part) = of_service else { continue };
            let mut served = 0.0;
            for reported in part.workspaces.iter().take(REPORTED_MAX) {
                let Some(Some(name)) = self.names.get(&reported.workspace) else {
                    continue;
                };
                let Some(weight) = self.weights.get(name) else {
                    continue;
                };
                let bounded =
                    |cost: u64| (cost as f64).min(REPORTED_COST_MAX_S * weight);
                let costs = Costs {
                    served: bounded(reported.served),
                    refused: bounded(reported.refused),
                    held_back: bounded(reported.held_back),
                };
                served += costs.served;
                shares.add_reported(now, (name, *weight), costs);
            }
            shares.add_requests(part.requests.min(REPORTED_REQUESTS_MAX), served);
        }
    }

    /// Returns a service's shares, with the name and weight of a workspace that has a
    /// quota; `None` without these, or if a request's cost isn't a positive number.
    fn find(
        &mut self,
        service: &str,
        workspace: &str,
        cost: f64,
    ) -> Option<(&mut FairShare, Arc<str>, f64)> {
        let (name, weight) = self.weights.get_key_value(workspace)?;
        if !cost.is_finite() || cost <= 0.0 {
            return None;
        }
        let shares = self.services.get_mut(service)?;
        Some((shares, Arc::clone(name), *weight))
    }
}

fn report_of(service: &str, shares: &mut FairShare) -> Option<ServiceReport> {
    let (unreported, requests) = shares.take_unreported();
    let workspaces = unreported.iter().map(|(name, costs)| WorkspaceReport {
        workspace: share_hash(name),
        served: costs.served as u64,
        refused: costs.refused as u64,
        held_back: costs.held_back as u64,
    });
    let mut workspaces: Vec<_> = workspaces.collect();
    workspaces.sort_by_key(|part| {
        std::cmp::Reverse(part.served + part.refused + part.held_back)
    });
    workspaces.truncate(REPORTED_MAX);
    (!workspaces.is_empty()).then(|| ServiceReport {
        service: share_hash(service),
        requests,
        workspaces,
    })
}
