//! Stand-in for the platform's object API.
//!
//! Each write takes the next version from one counter. Every object keeps the
//! value before its last change, so that an old read can be served on demand,
//! and deleted keys are remembered for watches.

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
use crate::handle::{self, ANY_PORT, Tasks, handle_methods};
use crate::http::Cutter;

pub use faults::{Faults, Outage};
pub use objects::VALUE_MAX_BYTES;

use faults::Dice;
use objects::Objects;

/// How to start the stand-in.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Where the object API is served.
    pub listen: SocketAddr,
    /// Where faults are switched.
    pub control: SocketAddr,
    /// Seed of the faults that come with a probability.
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

/// The stand-in's state.
#[derive(Debug)]
pub struct Platform {
    inner: Mutex<Inner>,
    /// Version of the newest change that watches are told of.
    changed: watch::Sender<u64>,
    cutter: Cutter,
}

#[derive(Debug)]
struct Inner {
    objects: Objects,
    faults: Faults,
    dice: Dice,
    counts: Counts,
}

/// Calls served since the start; a waiting watch counts as one.
#[derive(
    Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize,
)]
pub struct Counts {
    /// Reads of one object.
    pub reads: u64,
    /// Conditional and unconditional writes and deletes, also in vain.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Lists.
    pub lists: u64,
    /// Calls refused or cut off by a fault, not counted above.
    pub refused: u64,
    /// Writes that took effect and whose answer was withheld.
    pub answers_lost: u64,
    /// Reads and lists answered with an earlier state.
    pub old_reads: u64,
    /// Writes by the first segment of the key.
    pub writes_by_kind: BTreeMap<String, u64>,
}

/// Starts the stand-in.
///
/// # Errors
///
/// An address can't be bound.
pub async fn start(options: PlatformOptions) -> io::Result<Handle<Platform>> {
    let cutter = Cutter::default();
    let platform = Arc::new(Platform {
        inner: Mutex::new(Inner {
            objects: Objects::default(),
            faults: Faults::default(),
            dice: Dice::new(options.seed),
            counts: Counts::default(),
        }),
        changed: watch::Sender::new(0),
        cutter: cutter.clone(),
    });
    handle::start(
        platform,
        options.listen,
        options.control,
        cutter,
        Tasks::default(),
    )
    .await
}

handle_methods!(Platform, Faults, Counts);

impl Handle<Platform> {
    /// Value and version of an object, read past every fault and not counted.
    pub fn peek_object(&self, key: &str) -> Option<(u64, Vec<u8>)> {
        let inner = self.stand_in.inner.lock();
        let object = inner.objects.get(key)?;
        Some((object.version, object.value.to_vec()))
    }

    /// Keys under a prefix, read past every fault and not counted.
    pub fn object_keys(&self, prefix: &str) -> Vec<String> {
        let inner = self.stand_in.inner.lock();
        let under = inner.objects.under(prefix);
        under.map(|(key, _)| key.to_owned()).collect()
    }
}
