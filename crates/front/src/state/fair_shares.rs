//! Shares of workspaces in scarce upstreams.

use base::prelude::*;
use direct::Config;
use parking_lot::Mutex;
use quota::{FairShares, ServiceReport, ShareReport, WorkspaceReport};
use schema::peer::{PeerNews, ServiceShares, WorkspaceShare};

use super::Node;
use super::caller_request::CallerRequest;

/// Shares of the workspaces that have quotas, by service. Where callers need no keys or
/// no workspace has a quota, there are none, and nothing here has an effect.
#[derive(Debug, Default)]
pub(crate) struct FairShareRegistry {
    shares: Mutex<FairShares>,
}

impl FairShareRegistry {
    /// Applies a configuration.
    pub(crate) fn configure(&self, config: &Config) {
        let directory = config.directory.iter();
        let workspaces = directory.flat_map(|directory| directory.workspaces());
        let rates = workspaces.filter_map(|workspace| {
            let allowance = workspace.allowance.as_ref()?;
            Some((&workspace.name, allowance.limit.rate_per_s))
        });
        self.shares.lock().configure(config.services.keys(), rates);
    }

    /// Records that a request is sent to an upstream.
    pub(crate) fn charge(&self, now: Instant, request: &CallerRequest) {
        if let Some((workspace, cost)) = share_cost(request) {
            let mut shares = self.shares.lock();
            shares.charge(now, &request.service, workspace, cost);
        }
    }

    /// Records that a request is refused for lack of capacity.
    pub(crate) fn record_refused(&self, now: Instant, request: &CallerRequest) {
        if let Some((workspace, cost)) = share_cost(request) {
            let mut shares = self.shares.lock();
            shares.record_refused(now, &request.service, workspace, cost);
        }
    }

    /// Records that a request is refused because its workspace is over its share.
    pub(crate) fn record_held_back(&self, now: Instant, request: &CallerRequest) {
        if let Some((workspace, cost)) = share_cost(request) {
            let mut shares = self.shares.lock();
            shares.record_held_back(now, &request.service, workspace, cost);
        }
    }

    /// Returns the report for the messages of a round, with its number.
    pub(crate) fn report(&self, now: Instant, round: u64) -> (Vec<ServiceShares>, u64) {
        let mut shares = self.shares.lock();
        shares
            .report(now, round)
            .map_or_else(Default::default, |report| {
                let services = report.services.iter().map(encode_service);
                (services.collect(), report.number)
            })
    }

    /// Applies the report of a peer.
    pub(crate) fn receive(&self, now: Instant, message: &PeerNews) {
        if message.shares_number == 0 {
            return;
        }
        let services = message.service_shares.iter().map(decode_service);
        let report = ShareReport {
            number: message.shares_number,
            services: services.collect(),
        };
        let mut shares = self.shares.lock();
        shares.receive(now, &message.entry, message.start, &report);
    }
}

impl Node {
    /// Returns the rank of a request among those that wait for the same service; lower
    /// goes first. It changes whenever a request is sent.
    pub(crate) fn share_rank(&self, request: &CallerRequest) -> u64 {
        share_cost(request).map_or(0, |(workspace, _)| {
            let shares = self.fair_shares.shares.lock();
            shares.rank(&request.service, workspace)
        })
    }

    /// Returns whether a request's workspace takes more than its share of a service of
    /// which others are refused for lack of capacity.
    pub(crate) fn is_over_share(&self, request: &CallerRequest) -> bool {
        share_cost(request).is_some_and(|(workspace, _)| {
            let mut shares = self.fair_shares.shares.lock();
            shares.is_over_share(self.now(), &request.service, workspace)
        })
    }
}

/// Returns the workspace of a request and what it costs of its quota; `None` without a
/// quota.
fn share_cost(request: &CallerRequest) -> Option<(&str, f64)> {
    let workspace = request.workspace.as_ref()?;
    let allowance = workspace.allowance.as_ref()?;
    Some((&workspace.name, allowance.cost.of(request.head.tokens)))
}

fn encode_service(report: &ServiceReport) -> ServiceShares {
    let workspaces = report.workspaces.iter().map(|part| WorkspaceShare {
        workspace: part.workspace,
        served: part.served,
        refused: part.refused,
        held_back: part.held_back,
    });
    ServiceShares {
        service: report.service,
        requests: report.requests,
        workspaces: workspaces.collect(),
    }
}

fn decode_service(shares: &ServiceShares) -> ServiceReport {
    let workspaces = shares.workspaces.iter().map(|part| WorkspaceReport {
        workspace: part.workspace,
        served: part.served,
        refused: part.refused,
        held_back: part.held_back,
    });
    ServiceReport {
        service: shares.service,
        requests: shares.requests,
        workspaces: workspaces.collect(),
    }
}
