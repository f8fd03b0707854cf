//! What the platform and the upstreams say of upstreams.

use std::net::SocketAddr;
use std::sync::Arc;

/// One start of an upstream.
///
/// What is known of an upstream is known of one start: the next one holds, counts
/// and knows nothing of before. A start of which the time is not known is older
/// than any that is; among those, the name alone tells starts apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamIncarnation<'a> {
    /// Name of the upstream.
    pub id: &'a str,
    /// Unix millisecond of its start.
    pub started_unix_ms: Option<u64>,
}

impl UpstreamRecord {
    /// The start that says this.
    pub fn incarnation(&self) -> UpstreamIncarnation<'_> {
        UpstreamIncarnation {
            id: &self.id,
            started_unix_ms: self.started_unix_ms,
        }
    }
}

/// The platform's entry of one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRecord {
    /// Name. An upstream may start again under it.
    pub id: Arc<str>,
    /// Unix millisecond of the start that says this, where upstreams say it.
    pub started_unix_ms: Option<u64>,
    /// Service.
    pub service: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Requests that run at once.
    pub batch_slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Time until it is gone, where it is taken away at short notice.
    pub gone_in_ms: Option<u64>,
    /// Models held.
    pub residents: Vec<ResidentModel>,
    /// Copies of weights that it can load without the weight store.
    pub local_weights: LocalWeights,
}

/// A model that an upstream holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResidentModel {
    /// Model.
    pub model: Arc<str>,
    /// Version of the weights.
    pub version: u64,
    /// Adapters held with it.
    pub adapters: Vec<Arc<str>>,
}

/// Copies of weights that an upstream can load without the weight store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LocalWeights {
    /// Models in its host's memory.
    pub in_memory: Vec<Arc<str>>,
    /// Models on its disk.
    pub on_disk: Vec<Arc<str>>,
}

/// An upstream's own report.
#[derive(Debug, Clone, Default)]
pub struct UpstreamReport {
    /// Unix millisecond of the start that says this, where upstreams say it.
    pub started_unix_ms: Option<u64>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders accepted since its start.
    pub orders_accepted: u64,
    /// Models held.
    pub residents: Vec<ResidentModel>,
    /// Adapters on their way, as model and adapter.
    pub adapters_loading: Vec<(Arc<str>, Arc<str>)>,
    /// Copies of weights.
    pub local_weights: LocalWeights,
}
