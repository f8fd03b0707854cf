//! A fake agent whose frames are chosen by the test.

use base::{ErrorCode, RunStatus};
use schema::link::{
    Answer, Attempt, Cancel, End, Frame, Heartbeat, Hello, Load, Refused, Resident,
    ResidentState, Revoke, Revoked, Run, Started, frame,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{Mutex, mpsc, watch};
use tokio::time::timeout;
use wire::{Link, LinkSender, Listener};

const INCARNATION: u64 = 7;
const HEARTBEAT: Duration = Duration::from_millis(50);
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Id of an agent, its pool, and the model that its upstream holds.
#[derive(Debug, Clone)]
pub(crate) struct AgentConfig {
    pub(crate) id: &'static str,
    pub(crate) pool: &'static str,
    pub(crate) model: Option<&'static str>,
}

/// A frame about a request, received from an entry.
#[derive(Debug)]
pub(crate) enum RequestFrame {
    Run(Box<Run>),
    Cancel(Cancel),
    Revoke(Revoke),
}

/// One attempt as its agent sees it.
#[derive(Debug)]
pub(crate) struct TestAttempt {
    pub(crate) run: Box<Run>,
    sender: LinkSender,
}

/// An agent that listens for links.
#[derive(Debug)]
pub(crate) struct TestAgent {
    pub(crate) address: SocketAddr,
    dial_count: watch::Receiver<u32>,
    id: watch::Sender<&'static str>,
    frames: Mutex<mpsc::UnboundedReceiver<(RequestFrame, LinkSender)>>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for TestAgent {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl TestAgent {
    pub(crate) async fn start(config: AgentConfig) -> Self {
        let any = "127.0.0.1:0".parse().expect("a literal address");
        let listener = Listener::bind(any, wire::DEFAULT_FRAME_MAX_BYTES).await;
        let listener = listener.expect("loopback can be bound");
        let address = listener.local_addr().expect("it is bound");
        let (queue, frames) = mpsc::unbounded_channel();
        let sequence = Arc::new(AtomicU64::new(1));
        let (count, dial_count) = watch::channel(0);
        let (id, id_changes) = watch::channel(config.id);
        let task = tokio::spawn(async move {
            let mut links = tokio::task::JoinSet::new();
            while let Ok(link) = listener.accept().await {
                count.send_modify(|count| *count += 1);
                let sequence = Arc::clone(&sequence);
                let mut id_changes = id_changes.clone();
                let config = AgentConfig {
                    id: *id_changes.borrow_and_update(),
                    ..config.clone()
                };
                let queue = queue.clone();
                links.spawn(async move {
                    tokio::select! {
                        () = serve(link, config, sequence, queue) => {}
                        _ = id_changes.changed() => {}
                    }
                });
            }
        });
        Self {
            address,
            dial_count,
            id,
            frames: Mutex::new(frames),
            task,
        }
    }

    /// Waits for the next frame about a request.
    pub(crate) async fn next_frame(&self) -> (RequestFrame, LinkSender) {
        let mut frames = self.frames.lock().await;
        let frame = timeout(WAIT_TIMEOUT, frames.recv()).await;
        frame
            .expect("a frame arrives")
            .expect("the agent is running")
    }

    /// Closes all links, and sends another id on those accepted later.
    pub(crate) fn rename(&self, id: &'static str) {
        self.id.send_replace(id);
    }

    /// Waits until the agent has been dialed `additional` more times.
    pub(crate) async fn wait_dialed(&self, additional: u32) {
        let mut dial_count = self.dial_count.clone();
        let enough = *dial_count.borrow() + additional;
        let enough = dial_count.wait_for(|count| *count >= enough);
        let enough = timeout(WAIT_TIMEOUT, enough)
            .await
            .expect("the agent is dialed");
        enough.expect("the agent is running");
    }

    /// Whether no frame about a request is queued.
    pub(crate) async fn is_idle(&self) -> bool {
        self.frames.lock().await.is_empty()
    }

    /// Waits for the next `Run`; the test then answers it.
    pub(crate) async fn next_attempt(&self) -> TestAttempt {
        loop {
            if let (RequestFrame::Run(run), sender) = self.next_frame().await {
                return TestAttempt { run, sender };
            }
        }
    }

    /// Waits for the `Cancel` of an attempt.
    pub(crate) async fn wait_cancelled(&self, attempt: Attempt) {
        loop {
            match self.next_frame().await {
                (RequestFrame::Cancel(cancel), _)
                    if cancel.attempt == Some(attempt) =>
                {
                    return;
                }
                (other, _) => drop(other),
            }
        }
    }
}

impl TestAttempt {
    pub(crate) fn id(&self) -> Attempt {
        self.run.attempt.expect("a run has an attempt")
    }

    async fn send(&self, body: frame::Body) {
        let sent = self.sender.send(frame_with_body(body)).await;
        sent.expect("the link is up");
    }

    pub(crate) async fn send_started(&self) {
        self.send(frame::Body::Started(Started {
            attempt: Some(self.id()),
            load: Some(load()),
        }))
        .await;
    }

    pub(crate) async fn send_part(&self, offset: u64, units: u32, payload: &[u8]) {
        self.send(frame::Body::Answer(Answer {
            attempt: Some(self.id()),
            offset,
            units,
            payload: payload.to_vec(),
        }))
        .await;
    }

    /// Sends each text as one token, from offset 0.
    pub(crate) async fn send_tokens(&self, texts: &[&str]) {
        for (offset, text) in texts.iter().enumerate() {
            self.send_part(offset as u64, 1, text.as_bytes()).await;
        }
    }

    pub(crate) async fn send_end(&self, end: End) {
        self.send(frame::Body::End(End {
            attempt: Some(self.id()),
            load: Some(load()),
            ..end
        }))
        .await;
    }

    pub(crate) async fn send_complete(&self, total_units: u64) {
        self.send_end(End {
            ran: RunStatus::Ran.number(),
            total_units,
            status: 200,
            ..End::default()
        })
        .await;
    }

    pub(crate) async fn send_failed(
        &self,
        code: ErrorCode,
        ran: RunStatus,
        retry_after_ms: u32,
    ) {
        self.send_end(End {
            code: code.number(),
            ran: ran.number(),
            retry_after_ms,
            ..End::default()
        })
        .await;
    }

    pub(crate) async fn send_refused(&self, code: ErrorCode, retry_after_ms: u32) {
        self.send(frame::Body::Refused(Refused {
            attempt: Some(self.id()),
            code: code.number(),
            retry_after_ms,
            load: Some(load()),
        }))
        .await;
    }

    /// Closes the link at once.
    pub(crate) fn cut_link(&self) {
        self.sender.close();
    }
}

/// Answers a `Revoke`.
pub(crate) async fn send_revoked(sender: &LinkSender, revoke: Revoke, ran: RunStatus) {
    let body = frame::Body::Revoked(Revoked {
        attempt: revoke.attempt,
        ran: ran.number(),
    });
    sender
        .send(frame_with_body(body))
        .await
        .expect("the link is up");
}

async fn serve(
    link: Link,
    config: AgentConfig,
    sequence: Arc<AtomicU64>,
    queue: mpsc::UnboundedSender<(RequestFrame, LinkSender)>,
) {
    let hello = Hello {
        kind: "agent".to_owned(),
        id: config.id.to_owned(),
        incarnation: INCARNATION,
        failure_domain: "east".to_owned(),
    };
    let Ok(mut link) = link
        .handshake(frame_with_body(frame::Body::Hello(hello)))
        .await
    else {
        return;
    };
    let mut ticks = tokio::time::interval(HEARTBEAT);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let number = sequence.fetch_add(1, Ordering::Relaxed);
                let _ = link.sender.try_send(heartbeat(&config, number));
            }
            frame = link.receiver.recv() => {
                let Ok(Some(frame)) = frame else { return };
                let frame = match frame.body {
                    Some(frame::Body::Run(run)) => RequestFrame::Run(Box::new(run)),
                    Some(frame::Body::Cancel(cancel)) => RequestFrame::Cancel(cancel),
                    Some(frame::Body::Revoke(revoke)) => RequestFrame::Revoke(revoke),
                    _ => continue,
                };
                let _ = queue.send((frame, link.sender.clone()));
            }
        }
    }
}

fn frame_with_body(body: frame::Body) -> Frame {
    Frame {
        clock_us: 1,
        revision: 0,
        body: Some(body),
    }
}

fn load() -> Load {
    Load {
        running: 0,
        waiting: 0,
        running_max: 64,
        step_time_us: 10_000,
        report_age_ms: 1,
    }
}

fn heartbeat(config: &AgentConfig, sequence: u64) -> Frame {
    let resident = config.model.map(|model| Resident {
        model: model.to_owned(),
        version: 1,
        accelerator: 0,
        state: ResidentState::Loaded.into(),
        size_mib: 60,
        age_ms: 1_000,
    });
    frame_with_body(frame::Body::Heartbeat(Heartbeat {
        agent: config.id.to_owned(),
        incarnation: INCARNATION,
        epoch: 1,
        pool: config.pool.to_owned(),
        failure_domain: "east".to_owned(),
        residents: resident.into_iter().collect(),
        load: Some(load()),
        upstream_up: true,
        accelerators_mib: vec![100],
        sequence,
        ..Heartbeat::default()
    }))
}
