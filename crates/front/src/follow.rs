//! Follows the configuration and the upstreams' entries in the platform.

use base::prelude::*;
use base::{PlatformOp, PlatformResult, Version};
use direct::{ChangedObject, WatchBatch};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

use crate::shared_watch::{call_watch, rest};
use crate::state::Node;
use crate::state::unread::Kind;

/// Shortest and longest pause after a call that failed. Each call is a load on a
/// platform in trouble; the configuration has to be in force within seconds of
/// its return.
const PAUSE_MIN: Duration = Duration::from_millis(100);
const PAUSE_MAX: Duration = Duration::from_millis(400);

/// Longest pause between two lists where lists are answered and no watch is, as on
/// a platform whose history is gone at once. Without one, each entry listed some
/// hundred times a second; with it, the configuration is still in force in time.
const RELIST_MAX: Duration = Duration::from_millis(800);

/// Time between two watches of the upstreams' entries. Each change ends the
/// watches of all entries, and each new watch is a call; what changes meanwhile
/// comes with the next one, and an upstream that leaves has to be known as such
/// within two seconds.
const WATCH_EVERY: Duration = Duration::from_millis(800);

/// Objects of one kind that are followed.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Followed {
    /// The configuration.
    Setup,
    /// The upstreams' entries.
    Upstreams,
}

type Object = (String, Version, Vec<u8>);

/// Takes over changes, from an own watch or another entry's.
pub(crate) fn apply(node: &Node, followed: Followed, changed: &[ChangedObject]) {
    let objects = changed.iter();
    let objects =
        objects.map(|of| (of.key.clone(), Version(of.version), of.value.clone()));
    let objects: Vec<Object> = objects.collect();
    match followed {
        Followed::Setup => setups(node, &objects),
        Followed::Upstreams => changed_upstreams(node, &objects),
    }
}

/// Follows one kind of object for ever: a list, then what changes.
///
/// Whatever goes wrong with watching, also history that is gone, ends in a new
/// list, which needs no history.
pub(crate) async fn follow(node: Arc<Node>, followed: Followed) {
    let mut lost = Lost::new(followed);
    let mut relist = PAUSE_MIN;
    loop {
        let Some(mut after) = list(&node, followed, &mut lost).await else {
            lost.pause().await;
            continue;
        };
        let mut has_watched = false;
        let mut began_at = node.now();
        while let Some(at) = watch(&node, followed, after, &mut lost).await {
            after = at;
            has_watched = true;
            rest(&node, followed, began_at).await;
            began_at = node.now();
        }
        relist = if has_watched {
            PAUSE_MIN
        } else {
            (relist * 2).min(RELIST_MAX)
        };
        tokio::time::sleep(relist).await;
    }
}

async fn list(node: &Node, followed: Followed, lost: &mut Lost) -> Option<Version> {
    let prefix = followed.prefix(node);
    let result = node.store.call(&PlatformOp::List { prefix }).await;
    count(node, followed, "list", &result);
    let PlatformResult::Objects(objects, at) = result else {
        node.shared.failed(followed);
        lost.lost(node, &result);
        return None;
    };
    lost.regained(node);
    match followed {
        Followed::Setup => setups(node, &objects),
        Followed::Upstreams => all_upstreams(node, at, &objects),
    }
    node.shared.listed(node.now(), followed, at.0);
    followed.confirm(node, at.0, node.now());
    Some(at)
}

async fn watch(
    node: &Node,
    followed: Followed,
    after: Version,
    lost: &mut Lost,
) -> Option<Version> {
    let prefix = followed.prefix(node);
    let watch = PlatformOp::Watch { prefix, after };
    let result = call_watch(node, followed, &watch).await;
    count(node, followed, "watch", &result);
    let PlatformResult::Objects(objects, at) = result else {
        node.shared.failed(followed);
        lost.lost(node, &result);
        return None;
    };
    lost.regained(node);
    let objects = objects.into_iter();
    let objects = objects.map(|(key, version, value)| ChangedObject {
        key,
        version: version.0,
        value,
    });
    let batch = WatchBatch {
        after_version: after.0,
        to_version: at.0,
        objects: objects.collect(),
        is_partial: false,
    };
    apply(node, followed, &batch.objects);
    node.shared.watched(node.now(), followed, batch);
    followed.confirm(node, at.0, node.now());
    Some(at)
}

impl Followed {
    fn prefix(self, node: &Node) -> String {
        match self {
            Self::Setup => node.options.keys.config_prefix.clone(),
            Self::Upstreams => node.options.keys.upstream_prefix.clone(),
        }
    }

    /// Time between two watches of an entry that watches for itself.
    pub(crate) const fn pause(self) -> Duration {
        match self {
            Self::Setup => Duration::ZERO,
            Self::Upstreams => WATCH_EVERY,
        }
    }

    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Setup => "setup",
            Self::Upstreams => "upstreams",
        }
    }

    /// The platform confirmed at a time that everything up to a version is known.
    pub(crate) fn confirm(self, node: &Node, at: u64, confirmed_at: Instant) {
        let mut setup;
        let mut fleet;
        let mark = match self {
            Self::Setup => {
                setup = node.setup.lock();
                &mut setup.1
            }
            Self::Upstreams => {
                fleet = node.fleet_mark.lock();
                &mut *fleet
            }
        };
        mark.version = mark.version.max(at);
        mark.confirmed_at = mark.confirmed_at.max(Some(confirmed_at));
    }
}

/// Whether the platform answers, told once at each change.
struct Lost {
    followed: Followed,
    is_lost: bool,
    pause: Duration,
}

impl Lost {
    const fn new(followed: Followed) -> Self {
        Self {
            followed,
            is_lost: false,
            pause: PAUSE_MIN,
        }
    }

    fn lost(&mut self, node: &Node, result: &PlatformResult) {
        if !std::mem::replace(&mut self.is_lost, true) {
            let why = word(result);
            node.log.line(
                "platform_lost",
                json!({ "followed": self.followed.as_str(), "why": why }),
            );
        }
    }

    fn regained(&mut self, node: &Node) {
        self.pause = PAUSE_MIN;
        if std::mem::replace(&mut self.is_lost, false) {
            node.fleet.lock().platform_returned(node.now());
            node.log.line(
                "platform_regained",
                json!({ "followed": self.followed.as_str() }),
            );
        }
    }

    async fn pause(&mut self) {
        tokio::time::sleep(self.pause).await;
        self.pause = (self.pause * 2).min(PAUSE_MAX);
    }
}

const fn word(result: &PlatformResult) -> &'static str {
    match result {
        PlatformResult::Away => "away",
        PlatformResult::Unanswered => "unanswered",
        PlatformResult::Conflict => "conflict",
        _ => "answered",
    }
}

fn count(node: &Node, followed: Followed, call: &str, result: &PlatformResult) {
    let object = format!("{} {call}", followed.as_str());
    let labels = [object.as_str(), word(result)];
    node.meters.store_calls.with_label_values(&labels).inc();
}

fn setups(node: &Node, objects: &[Object]) {
    for (key, _, value) in objects {
        if *key != node.options.keys.config || value.is_empty() {
            continue;
        }
        match node.dialect.parse_config(value) {
            Ok(setup) => {
                node.unread.forget(Kind::Setup, key);
                take_setup(node, setup);
            }
            // The one before stays in force.
            Err(fault) => node.tell_unread(Kind::Setup, key, value, &fault),
        }
    }
}

fn take_setup(node: &Node, setup: direct::Config) {
    let mut held = node.setup.lock();
    let before = held.0.as_ref().map_or(0, |setup| setup.version);
    if held.0.is_some() && setup.version <= before {
        return;
    }
    let (version, routes) = (setup.version, setup.routes().count());
    node.quota.set_limits(node.now(), &setup);
    held.0 = Some(Arc::new(setup));
    drop(held);
    node.log.line(
        "setup_in_force",
        json!({ "version": version, "before": before, "routes": routes }),
    );
    let prefix = &node.options.keys.upstream_prefix;
    for upstream in node.fleet.lock().all() {
        let key = format!("{prefix}{}", upstream.record.id);
        tell_if_unnamed(node, &key, &upstream.record.service);
    }
}

fn all_upstreams(node: &Node, at: Version, objects: &[Object]) {
    let mut listed = Vec::new();
    let mut unread = Vec::new();
    for object in objects {
        match read(node, object) {
            Some(news) => listed.push(news),
            None => unread.push(object),
        }
    }
    let mut fleet = node.fleet.lock();
    fleet.apply_list(node.now(), at.0, listed);
    for (key, version, _) in unread {
        fleet.mark_unreadable(id_of(node, key), version.0);
    }
    node.unread.retain(Kind::Upstream, |known| {
        objects.iter().any(|(key, ..)| key == known)
    });
    node.unread
        .retain(Kind::Report, |id| fleet.get(id).is_some());
    drop(fleet);
    node.holdings.notify_waiters();
}

fn changed_upstreams(node: &Node, objects: &[Object]) {
    for object in objects {
        changed_upstream(node, object);
    }
    if !objects.is_empty() {
        node.holdings.notify_waiters();
        node.giver.wake.notify_waiters();
    }
}

fn changed_upstream(node: &Node, object: &Object) {
    let (key, version, value) = object;
    let id = id_of(node, key);
    if value.is_empty() {
        node.fleet.lock().remove(node.now(), id, version.0);
        node.unread.forget(Kind::Upstream, key);
        node.log.line("upstream_gone", json!({ "upstream": id }));
        return;
    }
    let Some((version, news)) = read(node, object) else {
        node.fleet.lock().mark_unreadable(id, version.0);
        return;
    };
    if news.leaving {
        node.log.line(
            "upstream_leaving",
            json!({ "upstream": &*news.id, "version": version,
                "gone_in_ms": news.gone_in_ms }),
        );
    }
    let (id, born_ms) = (Arc::clone(&news.id), news.started_unix_ms);
    if node.fleet.lock().apply_update(version, news) {
        node.log.line(
            "upstream_restarted",
            json!({ "upstream": &*id, "version": version, "born_ms": born_ms }),
        );
    }
}

fn id_of<'a>(node: &Node, key: &'a str) -> &'a str {
    key.strip_prefix(node.options.keys.upstream_prefix.as_str())
        .unwrap_or(key)
}

/// Reads an upstream's entry; what can't be read is told of.
fn read(node: &Node, object: &Object) -> Option<(u64, direct::UpstreamRecord)> {
    let (key, version, value) = object;
    let news = match node.dialect.parse_upstream(key, value) {
        Ok(news) => news,
        Err(fault) => {
            node.tell_unread(Kind::Upstream, key, value, &fault);
            return None;
        }
    };
    tell_if_unnamed(node, key, &news.service);
    Some((version.0, news))
}

/// Tells of an upstream whose service the configuration does not name: no request
/// goes there, unless a configuration that comes later names it.
fn tell_if_unnamed(node: &Node, key: &str, service: &str) {
    let Some(setup) = node.setup() else {
        return;
    };
    if setup.knows_service(service) {
        node.unread.forget(Kind::Upstream, key);
        return;
    }
    let why = "the configuration names no such service";
    node.tell_unread(Kind::Upstream, key, service.as_bytes(), why);
}
