//! Whether the platform answers, and the delays between calls while it doesn't.

use base::PlatformResult;
use serde_json::json;
use std::time::Duration;

use crate::platform_watch::Collection;
use crate::state::Node;
use crate::state::metered_platform::outcome_label;

/// Shortest and longest delay after a failed call. Each call adds load to a
/// platform in trouble, but the configuration must be in force within seconds
/// of its recovery.
pub(crate) const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(400);

/// Whether the platform answers the calls of a collection; each change is logged once.
#[derive(Debug)]
pub(crate) struct PlatformContact {
    collection: Collection,
    is_lost: bool,
    delay: Duration,
}

impl PlatformContact {
    pub(crate) const fn new(collection: Collection) -> Self {
        Self {
            collection,
            is_lost: false,
            delay: RETRY_DELAY_MIN,
        }
    }

    pub(crate) fn note_failure(&mut self, node: &Node, result: &PlatformResult) {
        node.observe_generation(node.platform.generation());
        if !std::mem::replace(&mut self.is_lost, true) {
            let why = outcome_label(result);
            node.log.line(
                "platform_lost",
                json!({ "followed": self.collection.as_str(), "why": why }),
            );
        }
    }

    pub(crate) fn note_success(&mut self, node: &Node) {
        node.observe_generation(node.platform.generation());
        self.delay = RETRY_DELAY_MIN;
        if std::mem::replace(&mut self.is_lost, false) {
            node.fleet.lock().platform_returned(node.now());
            node.log.line(
                "platform_regained",
                json!({ "followed": self.collection.as_str() }),
            );
        }
    }

    /// Whether the last call failed.
    pub(crate) const fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Waits before the next call; longer after each failure in a row.
    pub(crate) async fn back_off(&mut self) {
        tokio::time::sleep(self.delay).await;
        self.delay = (self.delay * 2).min(RETRY_DELAY_MAX);
    }
}
