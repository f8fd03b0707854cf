//! Stand-in for the platform's object API.
//!
//! A single counter assigns the version of every change. Each object keeps the value
//! before its last change, so that a fault can make a read return it. Deleted keys
//! are kept, so that watches can report the deletion.
//!
//! The objects can be copied, and restored from the copy later: versions then go back
//! and are given out again, and the generation that every response names rises by one.

mod faults;
mod objects;
mod serve;

use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

use crate::Handle;
use crate::handle::{self, ANY_PORT, TaskSet, handle_methods};
use crate::http::ConnectionCloser;

pub use faults::{Faults, Outage};
pub use objects::VALUE_MAX_BYTES;

use faults::FaultRng;
use objects::Objects;

/// Options of the stand-in.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Address of the object API listener.
    pub listen: SocketAddr,
    /// Address of the control listener.
    pub control: SocketAddr,
    /// Seed of the random faults.
    pub seed: u64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: ANY_PORT,
            control: ANY_PORT,
            seed: 1,
        }
    }
}

/// Platform behind a [`Handle`].
#[derive(Debug)]
pub struct Platform {
    inner: Mutex<Inner>,
    /// Version of the last change that watches report; wakes waiting watches.
    last_visible_version: watch::Sender<u64>,
    connection_closer: ConnectionCloser,
}

#[derive(Debug)]
struct Inner {
    objects: Objects,
    /// Copy from which the objects can be restored.
    copy: Objects,
    /// Number of restores.
    generation: u64,
    faults: Faults,
    rng: FaultRng,
    counts: Counts,
}

/// Counters of requests since the start; a watch counts once, however long it waits.
#[derive(
    Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize,
)]
pub struct Counts {
    /// Reads of one object.
    pub reads: u64,
    /// Writes and deletes, including those whose condition was not met.
    pub writes: u64,
    /// Watch requests.
    pub watches: u64,
    /// List requests.
    pub lists: u64,
    /// Requests that a fault refused or dropped; not included in the counters above.
    pub refused: u64,
    /// Writes that took effect and whose response a fault withheld.
    pub answers_lost: u64,
    /// Reads and lists that returned an earlier state.
    pub old_reads: u64,
    /// Writes by the first segment of the key.
    pub writes_by_kind: BTreeMap<String, u64>,
}

/// Starts the stand-in.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn start(options: PlatformOptions) -> io::Result<Handle<Platform>> {
    let connection_closer = ConnectionCloser::default();
    let platform = Arc::new(Platform {
        inner: Mutex::new(Inner {
            objects: Objects::default(),
            copy: Objects::default(),
            generation: 0,
            faults: Faults::default(),
            rng: FaultRng::new(options.seed),
            counts: Counts::default(),
        }),
        last_visible_version: watch::Sender::new(0),
        connection_closer: connection_closer.clone(),
    });
    handle::start(
        platform,
        options.listen,
        options.control,
        connection_closer,
        TaskSet::default(),
    )
    .await
}

handle_methods!(Platform, Faults, Counts);

impl Handle<Platform> {
    /// Copies all objects for a later [`Self::restore`].
    pub fn copy_objects(&self) {
        self.stand_in.copy_objects();
    }

    /// Replaces all objects by the last copy, or removes them if there is none.
    pub fn restore(&self) {
        self.stand_in.restore();
    }

    /// Returns version and value of an object, regardless of faults and uncounted.
    pub fn peek_object(&self, key: &str) -> Option<(u64, Vec<u8>)> {
        let inner = self.stand_in.inner.lock();
        let object = inner.objects.get(key)?;
        Some((object.version, object.value.to_vec()))
    }

    /// Returns the keys with a prefix, regardless of faults and uncounted.
    pub fn object_keys(&self, prefix: &str) -> Vec<String> {
        let inner = self.stand_in.inner.lock();
        let with_prefix = inner.objects.with_prefix(prefix);
        with_prefix.map(|(key, _)| key.to_owned()).collect()
    }
}
