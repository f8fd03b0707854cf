//! Watches the configuration and the upstreams' records in the platform.

use base::prelude::*;
use base::{ObjectVersion, PlatformOp, PlatformResult};
use direct::{AfterFailure, ChangedObject, WatchBatch, WatchFailures};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::packed_batches::changed_object;
use crate::platform_contact::{PlatformContact, RETRY_DELAY_MIN};
use crate::received_state::CompleteState;
use crate::shared_watch::{
    is_covered, wait_for_next_watch, wait_while_covered, watch_platform,
};
use crate::start_state;
use crate::state::Node;
use crate::state::unreadable::ObjectKind;
use crate::upstream_changes::log_changes;

/// Longest delay between two lists while lists succeed and watches fail, as on
/// a platform that drops its history immediately. Without a delay, each entry
/// listed some hundred times per second; with this one, the configuration is
/// still in force in time.
const RELIST_DELAY_MAX: Duration = Duration::from_millis(800);

/// Interval between two watches of the upstreams' records. Each change ends the
/// watches of all entries, and each new watch is a call. Changes in between
/// arrive with the next watch; a leaving upstream must be known within two
/// seconds.
const UPSTREAM_WATCH_INTERVAL: Duration = Duration::from_millis(800);

/// A collection of platform objects that this entry keeps up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Collection {
    /// The configuration.
    Config,
    /// The upstreams' records.
    Upstreams,
}

type Object = (String, ObjectVersion, Vec<u8>);

/// Applies changes, whether from this entry's own watch or from another
/// entry's.
pub(crate) fn apply_changes(
    node: &Node,
    collection: Collection,
    changed: &[ChangedObject],
) {
    let objects: Vec<Object> = changed.iter().map(as_object).collect();
    match collection {
        Collection::Config => apply_configs(node, &objects),
        Collection::Upstreams => apply_upstream_changes(node, &objects),
    }
}

/// Keeps one collection up to date forever: lists it, then watches for changes.
///
/// A watch whose history the platform has dropped, and several without an answer,
/// lead to a new list, which needs no history.
pub(crate) async fn watch_collection(node: Arc<Node>, collection: Collection) {
    let mut contact = PlatformContact::new(collection);
    let mut relist_delay = RETRY_DELAY_MIN;
    let mut has_state =
        start_state::fetch(&node, collection, start_state::START_LIMITS).await;
    loop {
        if !has_state && !list_once(&node, collection, &mut contact).await {
            contact.back_off().await;
            wait_while_covered(&node, collection).await;
            // What is known is watched on from; the platform may have it still.
            has_state = node.shared_watches.has_state(collection);
            continue;
        }
        start_state::answer_waiting(&node, collection).await;
        has_state = false;
        let mut has_watched = false;
        let mut failures = WatchFailures::new();
        while !node.shared_watches.needs_list(node.now(), collection) {
            let started_at = node.now();
            let after = node.shared_watches.resume_version(collection);
            let next = match watch_once(&node, collection, after, &mut contact).await {
                WatchOutcome::Answered => {
                    has_watched = true;
                    failures.on_answered();
                    wait_for_next_watch(&node, collection, started_at).await;
                    continue;
                }
                WatchOutcome::HistoryGone => AfterFailure::Resync,
                WatchOutcome::Unanswered => failures.on_unanswered(),
            };
            if is_covered(&node, collection) {
                // The platform refuses only this entry. What it misses meanwhile
                // comes from the leader.
                wait_while_covered(&node, collection).await;
                continue;
            }
            match next {
                AfterFailure::Watch => contact.back_off().await,
                AfterFailure::Probe => {
                    failures.on_probed(is_answering(&node).await);
                    contact.back_off().await;
                }
                AfterFailure::Resync => break,
            }
        }
        relist_delay = if has_watched {
            RETRY_DELAY_MIN
        } else {
            (relist_delay * 2).min(RELIST_DELAY_MAX)
        };
        tokio::time::sleep(relist_delay).await;
        // A platform that drops its history cuts off all watches at once, and all
        // entries would list.
        if !node.shared_watches.needs_list(node.now(), collection) {
            let limits = start_state::RESUME_LIMITS;
            has_state = start_state::fetch(&node, collection, limits).await;
        }
    }
}

/// Lists a collection and applies it. Returns whether the call succeeded.
async fn list_once(
    node: &Node,
    collection: Collection,
    contact: &mut PlatformContact,
) -> bool {
    let prefix = collection.prefix(node);
    let is_first = collection == Collection::Upstreams && !node.knows_upstreams();
    let mut upstreams = ListedUpstreams::default();
    let mut on_page = |page: &[Object]| {
        if collection == Collection::Upstreams {
            let records = upstreams.add_page(node, page);
            if is_first {
                apply_first_page(node, records);
            }
        }
    };
    let result = node.platform.list_in_pages(prefix, &mut on_page).await;
    let PlatformResult::Objects(objects, list_version) = result else {
        node.shared_watches.record_failure(collection);
        contact.note_failure(node, &result);
        return false;
    };
    contact.note_success(node);
    match collection {
        Collection::Config => apply_configs(node, &objects),
        Collection::Upstreams => {
            replace_upstreams(node, list_version, &objects, upstreams);
        }
    }
    let objects: Vec<ChangedObject> = objects.into_iter().map(as_changed).collect();
    node.shared_watches
        .record_list(node.now(), collection, list_version.0, &objects);
    collection.confirm(node, list_version.0, node.now());
    true
}

fn as_changed((key, version, value): Object) -> ChangedObject {
    changed_object(key, version.0, value)
}

/// Returns whether the platform answers the read of a small object.
async fn is_answering(node: &Node) -> bool {
    let key = node.options.keys.lease.clone();
    let result = node.platform.call(&PlatformOp::Read { key }).await;
    matches!(result, PlatformResult::Object(_))
}

/// Result of a watch of this entry's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WatchOutcome {
    Answered,
    HistoryGone,
    Unanswered,
}

/// Waits for changes after a version and applies them.
async fn watch_once(
    node: &Node,
    collection: Collection,
    after: ObjectVersion,
    contact: &mut PlatformContact,
) -> WatchOutcome {
    let prefix = collection.prefix(node);
    let watch = PlatformOp::Watch { prefix, after };
    let result = watch_platform(node, collection, &watch, contact.is_lost()).await;
    let PlatformResult::Objects(objects, to_version) = result else {
        node.shared_watches.record_failure(collection);
        contact.note_failure(node, &result);
        return match result {
            PlatformResult::HistoryGone => WatchOutcome::HistoryGone,
            _ => WatchOutcome::Unanswered,
        };
    };
    contact.note_success(node);
    let objects = objects.into_iter().map(as_changed);
    let batch = WatchBatch {
        after_version: after.0,
        to_version: to_version.0,
        objects: objects.collect(),
        is_partial: false,
    };
    apply_changes(node, collection, &batch.objects);
    node.shared_watches
        .record_watch(node.now(), collection, batch);
    collection.confirm(node, to_version.0, node.now());
    WatchOutcome::Answered
}

impl Collection {
    fn prefix(self, node: &Node) -> String {
        match self {
            Self::Config => node.options.keys.config_prefix.clone(),
            Self::Upstreams => node.options.keys.upstream_prefix.clone(),
        }
    }

    /// Returns the interval between two watches of an entry that watches for
    /// itself.
    pub(crate) const fn watch_pause(self) -> Duration {
        match self {
            Self::Config => Duration::ZERO,
            Self::Upstreams => UPSTREAM_WATCH_INTERVAL,
        }
    }

    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Config => "setup",
            Self::Upstreams => "upstreams",
        }
    }

    /// Records that the platform confirmed at `confirmed_at` that this entry
    /// knows everything up to `version`.
    pub(crate) fn confirm(self, node: &Node, version: u64, confirmed_at: Instant) {
        let mut config;
        let mut fleet;
        let watermark = match self {
            Self::Config => {
                config = node.config.lock();
                &mut config.1
            }
            Self::Upstreams => {
                let mut known = node.fleet.lock();
                known.set_known_version(version);
                known.records_read(confirmed_at);
                drop(known);
                fleet = node.fleet_watermark.lock();
                &mut *fleet
            }
        };
        watermark.version = watermark.version.max(version);
        watermark.confirmed_at = watermark.confirmed_at.max(Some(confirmed_at));
    }
}

/// Puts the newest configuration among the objects into force.
fn apply_configs(node: &Node, objects: &[Object]) {
    for (key, _, value) in objects {
        if *key != node.options.keys.config || value.is_empty() {
            continue;
        }
        let began_at = node.now();
        match node.protocol.parse_config(value) {
            Ok(config) => {
                node.unreadable.forget(ObjectKind::Config, key);
                adopt_config(node, config, began_at);
            }
            // The previous configuration stays in force.
            Err(error) => {
                node.report_unreadable(ObjectKind::Config, key, value, &error);
            }
        }
    }
}

/// Puts a configuration into force unless the current one is as new. `began_at` is when
/// its decoding began.
fn adopt_config(node: &Node, config: direct::Config, began_at: Instant) {
    let mut current = node.config.lock();
    let before = current.0.as_ref().map_or(0, |config| config.version);
    if current.0.is_some() && config.version <= before {
        return;
    }
    let (version, routes) = (config.version, config.routes().count());
    node.workspace_quotas
        .set_workspace_limits(node.now(), &config);
    node.fair_shares.configure(&config);
    current.0 = Some(Arc::new(config));
    drop(current);
    node.config_adopted.notify_waiters();
    node.log.line(
        "setup_in_force",
        json!({ "version": version, "before": before, "routes": routes,
            "ms": node.now().ms_since(began_at),
            "in_progress": node.metrics.in_progress.get(),
            "stopping": node.shutdown.is_stopping() }),
    );
    let prefix = &node.options.keys.upstream_prefix;
    for upstream in node.fleet.lock().all() {
        let key = format!("{prefix}{}", upstream.record.id);
        report_unknown_service(node, &key, &upstream.record.service);
    }
}

/// Applies the state that another entry passed on. Returns false if this entry knows
/// a later one, or that the platform was restored since.
pub(crate) fn apply_start_state(
    node: &Node,
    collection: Collection,
    state: &CompleteState,
) -> bool {
    let &CompleteState {
        version,
        confirmed_at,
        ref objects,
    } = state;
    let is_outdated = ObjectVersion(version).generation() < node.platform.generation();
    if is_outdated || !node.shared_watches.is_current(collection, version) {
        return false;
    }
    node.observe_generation(ObjectVersion(version).generation());
    let listed: Vec<Object> = objects.iter().map(as_object).collect();
    match collection {
        Collection::Config => apply_configs(node, &listed),
        Collection::Upstreams => {
            let mut upstreams = ListedUpstreams::default();
            upstreams.add_page(node, &listed);
            node.has_first_upstreams.store(true, Ordering::Relaxed);
            replace_upstreams(node, ObjectVersion(version), &listed, upstreams);
        }
    }
    node.shared_watches.record_snapshot(
        node.now(),
        collection,
        confirmed_at,
        version,
        objects,
    );
    collection.confirm(node, version, confirmed_at);
    true
}

fn as_object(object: &ChangedObject) -> Object {
    let version = ObjectVersion(object.version);
    (object.key.clone(), version, object.value.clone())
}

/// The upstreams' records of a list, decoded as its pages arrive.
#[derive(Debug, Default)]
struct ListedUpstreams {
    records: Vec<(u64, direct::UpstreamRecord)>,
    /// Keys and versions of the records that can't be decoded.
    unreadable: Vec<(String, u64)>,
}

impl ListedUpstreams {
    /// Decodes a page and returns its records.
    fn add_page(
        &mut self,
        node: &Node,
        page: &[Object],
    ) -> &[(u64, direct::UpstreamRecord)] {
        let page_start = self.records.len();
        for object in page {
            match parse_record(node, object) {
                Some(record) => self.records.push(record),
                None => self.unreadable.push((object.0.clone(), object.1.0)),
            }
        }
        &self.records[page_start..]
    }
}

/// Applies a page of the first list of upstreams. With hundreds of entries that
/// start at once, the other pages take a second to arrive.
fn apply_first_page(node: &Node, records: &[(u64, direct::UpstreamRecord)]) {
    node.fleet.lock().apply_page(records.to_vec());
    node.has_first_upstreams.store(true, Ordering::Relaxed);
    node.holdings_changed.notify_waiters();
}

/// Applies the complete list of the upstreams' records.
fn replace_upstreams(
    node: &Node,
    list_version: ObjectVersion,
    objects: &[Object],
    listed: ListedUpstreams,
) {
    let mut fleet = node.fleet.lock();
    fleet.apply_list(node.now(), list_version.0, listed.records);
    for (key, version) in listed.unreadable {
        fleet.mark_unreadable(upstream_id(node, &key), version);
    }
    node.unreadable.retain(ObjectKind::Upstream, |known| {
        objects.iter().any(|(key, ..)| key == known)
    });
    node.unreadable
        .retain(ObjectKind::Report, |id| fleet.get(id).is_some());
    drop(fleet);
    log_changes(node, "list");
    node.holdings_changed.notify_waiters();
}

fn apply_upstream_changes(node: &Node, objects: &[Object]) {
    for object in objects {
        apply_upstream_change(node, object);
    }
    log_changes(node, "watch");
    if !objects.is_empty() {
        node.holdings_changed.notify_waiters();
        node.coordinator.wake.notify_waiters();
    }
}

/// Applies one changed or deleted record of an upstream.
fn apply_upstream_change(node: &Node, object: &Object) {
    let (key, version, value) = object;
    let id = upstream_id(node, key);
    if value.is_empty() {
        node.fleet.lock().remove(node.now(), id, version.0);
        node.unreadable.forget(ObjectKind::Upstream, key);
        node.log.line("upstream_gone", json!({ "upstream": id }));
        return;
    }
    let Some((version, record)) = parse_record(node, object) else {
        node.fleet.lock().mark_unreadable(id, version.0);
        return;
    };
    if record.leaving {
        node.log.line(
            "upstream_leaving",
            json!({ "upstream": &*record.id, "version": version,
                "gone_in_ms": record.gone_in_ms }),
        );
    }
    let (id, started_unix_ms) = (Arc::clone(&record.id), record.started_unix_ms);
    if node.fleet.lock().apply_update(version, record) {
        node.log.line(
            "upstream_restarted",
            json!({ "upstream": &*id, "version": version, "born_ms": started_unix_ms }),
        );
    }
}

/// Returns the name of the upstream whose record has this key.
fn upstream_id<'a>(node: &Node, key: &'a str) -> &'a str {
    key.strip_prefix(node.options.keys.upstream_prefix.as_str())
        .unwrap_or(key)
}

/// Decodes an upstream's record, and reports one that can't be decoded.
fn parse_record(node: &Node, object: &Object) -> Option<(u64, direct::UpstreamRecord)> {
    let (key, version, value) = object;
    let record = match node.protocol.parse_upstream(key, value) {
        Ok(record) => record,
        Err(error) => {
            node.report_unreadable(ObjectKind::Upstream, key, value, &error);
            return None;
        }
    };
    report_unknown_service(node, key, &record.service);
    Some((version.0, record))
}

/// Reports an upstream whose service the configuration doesn't contain. It gets
/// no requests unless a later configuration contains the service.
fn report_unknown_service(node: &Node, key: &str, service: &str) {
    let Some(config) = node.config() else {
        return;
    };
    if config.knows_service(service) {
        node.unreadable.forget(ObjectKind::Upstream, key);
        return;
    }
    let why = "the configuration has no such service";
    node.report_unreadable(ObjectKind::Upstream, key, service.as_bytes(), why);
}
