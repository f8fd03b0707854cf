//! Records of upstreams, as the platform and the upstreams themselves provide them.

use std::net::SocketAddr;
use std::sync::Arc;

/// One process start of an upstream.
///
/// Knowledge about an upstream belongs to one incarnation: the next one starts with
/// nothing held and all counts at zero. An incarnation without a known start time is
/// older than any with one; incarnations without start times can't be told apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamIncarnation<'a> {
    /// Name of the upstream.
    pub id: &'a str,
    /// Start time, in milliseconds since the Unix epoch.
    pub started_unix_ms: Option<u64>,
}

impl UpstreamRecord {
    /// The incarnation that the record describes.
    pub fn incarnation(&self) -> UpstreamIncarnation<'_> {
        UpstreamIncarnation {
            id: &self.id,
            started_unix_ms: self.started_unix_ms,
        }
    }
}

/// The platform's record of one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRecord {
    /// Name. An upstream may restart under the same name.
    pub id: Arc<str>,
    /// Start time of the incarnation, in milliseconds since the Unix epoch. `None` if
    /// upstreams don't provide it; then each start has a name of its own, and an upstream
    /// doesn't run a request for another name.
    pub started_unix_ms: Option<u64>,
    /// Service that the upstream belongs to.
    pub service: Arc<str>,
    /// Version of the software that it runs, which is not that of the weights. Versions
    /// have no order; only equality counts. `None` for an incarnation whose record
    /// hasn't been read.
    pub software_version: Option<Arc<str>>,
    /// Address that requests and orders are sent to.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Number of requests that run at once.
    pub batch_slots: u32,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Time until the upstream is gone, if it is removed at short notice.
    pub gone_in_ms: Option<u64>,
    /// Models that are held.
    pub residents: Vec<ResidentModel>,
    /// Weights that the upstream can load without the weight store.
    pub local_weights: LocalWeights,
}

/// A model that an upstream holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResidentModel {
    /// Name of the model.
    pub model: Arc<str>,
    /// Version of the weights.
    pub version: u64,
    /// Adapters of the model that are held.
    pub adapters: Vec<Arc<str>>,
}

/// Weights that an upstream can load without the weight store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LocalWeights {
    /// Models in the memory of its host.
    pub in_memory: Vec<Arc<str>>,
    /// Models on its disk.
    pub on_disk: Vec<Arc<str>>,
}

/// A report that an upstream gives about itself.
#[derive(Debug, Clone, Default)]
pub struct UpstreamReport {
    /// Start time of the incarnation, in milliseconds since the Unix epoch, if
    /// upstreams provide it.
    pub started_unix_ms: Option<u64>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Number of orders accepted since the upstream started.
    pub orders_accepted: u64,
    /// Models that are held.
    pub residents: Vec<ResidentModel>,
    /// Adapters that are loading, as pairs of model and adapter.
    pub adapters_loading: Vec<(Arc<str>, Arc<str>)>,
    /// Weights that the upstream can load without the weight store.
    pub local_weights: LocalWeights,
}
