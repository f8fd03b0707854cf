//! An agent that says what the test tells it to.

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
const PATIENCE: Duration = Duration::from_secs(20);

/// What an agent stands beside.
#[derive(Debug, Clone)]
pub(crate) struct Beside {
    pub(crate) id: &'static str,
    pub(crate) pool: &'static str,
    pub(crate) model: Option<&'static str>,
}

/// A frame that an entry sent for a request.
#[derive(Debug)]
pub(crate) enum Order {
    Run(Box<Run>),
    Cancel(Cancel),
    Revoke(Revoke),
}

/// The agent's side of one attempt.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) run: Box<Run>,
    sender: LinkSender,
}

/// A listening agent.
#[derive(Debug)]
pub(crate) struct TestAgent {
    pub(crate) address: SocketAddr,
    dialled: watch::Receiver<u32>,
    id: watch::Sender<&'static str>,
    orders: Mutex<mpsc::UnboundedReceiver<(Order, LinkSender)>>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for TestAgent {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl TestAgent {
    pub(crate) async fn start(beside: Beside) -> Self {
        let any = "127.0.0.1:0".parse().expect("a literal address");
        let listener = Listener::bind(any, wire::DEFAULT_FRAME_MAX_BYTES).await;
        let listener = listener.expect("loopback can be bound");
        let address = listener.local_addr().expect("it is bound");
        let (queue, orders) = mpsc::unbounded_channel();
        let sequence = Arc::new(AtomicU64::new(1));
        let (count, dialled) = watch::channel(0);
        let (id, named) = watch::channel(beside.id);
        let task = tokio::spawn(async move {
            let mut links = tokio::task::JoinSet::new();
            while let Ok(link) = listener.accept().await {
                count.send_modify(|count| *count += 1);
                let sequence = Arc::clone(&sequence);
                let mut named = named.clone();
                let beside = Beside {
                    id: *named.borrow_and_update(),
                    ..beside.clone()
                };
                let queue = queue.clone();
                links.spawn(async move {
                    tokio::select! {
                        () = serve(link, beside, sequence, queue) => {}
                        _ = named.changed() => {}
                    }
                });
            }
        });
        Self {
            address,
            dialled,
            id,
            orders: Mutex::new(orders),
            task,
        }
    }

    /// The next frame for a request.
    pub(crate) async fn order(&self) -> (Order, LinkSender) {
        let mut orders = self.orders.lock().await;
        let order = timeout(PATIENCE, orders.recv()).await;
        order.expect("an order comes").expect("the agent lives")
    }

    /// Cuts all links and says another name on those that come.
    pub(crate) fn rename(&self, id: &'static str) {
        self.id.send_replace(id);
    }

    /// Waits until it has been dialled so often again.
    pub(crate) async fn until_dialled(&self, times: u32) {
        let mut dialled = self.dialled.clone();
        let enough = *dialled.borrow() + times;
        let enough = dialled.wait_for(|count| *count >= enough);
        let enough = timeout(PATIENCE, enough).await.expect("it is dialled");
        enough.expect("the agent lives");
    }

    /// Whether no frame for a request has come.
    pub(crate) async fn is_idle(&self) -> bool {
        self.orders.lock().await.is_empty()
    }

    /// The next run, which the test then answers.
    pub(crate) async fn job(&self) -> Job {
        loop {
            if let (Order::Run(run), sender) = self.order().await {
                return Job { run, sender };
            }
        }
    }

    /// Waits for the cancellation of an attempt.
    pub(crate) async fn cancelled(&self, attempt: Attempt) {
        loop {
            match self.order().await {
                (Order::Cancel(cancel), _) if cancel.attempt == Some(attempt) => return,
                (other, _) => drop(other),
            }
        }
    }
}

impl Job {
    pub(crate) fn attempt(&self) -> Attempt {
        self.run.attempt.expect("a run names its attempt")
    }

    async fn send(&self, body: frame::Body) {
        let sent = self.sender.send(framed(body)).await;
        sent.expect("the entry holds the link");
    }

    pub(crate) async fn started(&self) {
        self.send(frame::Body::Started(Started {
            attempt: Some(self.attempt()),
            load: Some(load()),
        }))
        .await;
    }

    pub(crate) async fn part(&self, offset: u64, units: u32, payload: &[u8]) {
        self.send(frame::Body::Answer(Answer {
            attempt: Some(self.attempt()),
            offset,
            units,
            payload: payload.to_vec(),
        }))
        .await;
    }

    /// One token for each text, from offset 0.
    pub(crate) async fn tokens(&self, texts: &[&str]) {
        for (offset, text) in texts.iter().enumerate() {
            self.part(offset as u64, 1, text.as_bytes()).await;
        }
    }

    pub(crate) async fn end(&self, end: End) {
        self.send(frame::Body::End(End {
            attempt: Some(self.attempt()),
            load: Some(load()),
            ..end
        }))
        .await;
    }

    pub(crate) async fn whole(&self, total_units: u64) {
        self.end(End {
            ran: RunStatus::Ran.number(),
            total_units,
            status: 200,
            ..End::default()
        })
        .await;
    }

    pub(crate) async fn failed(
        &self,
        code: ErrorCode,
        ran: RunStatus,
        retry_after_ms: u32,
    ) {
        self.end(End {
            code: code.number(),
            ran: ran.number(),
            retry_after_ms,
            ..End::default()
        })
        .await;
    }

    pub(crate) async fn refused(&self, code: ErrorCode, retry_after_ms: u32) {
        self.send(frame::Body::Refused(Refused {
            attempt: Some(self.attempt()),
            code: code.number(),
            retry_after_ms,
            load: Some(load()),
        }))
        .await;
    }

    /// Cuts the link in the middle of whatever is going on.
    pub(crate) fn cut(&self) {
        self.sender.close();
    }
}

/// Answers a question for an attempt.
pub(crate) async fn revoked(sender: &LinkSender, revoke: Revoke, ran: RunStatus) {
    let body = frame::Body::Revoked(Revoked {
        attempt: revoke.attempt,
        ran: ran.number(),
    });
    sender.send(framed(body)).await.expect("the link is up");
}

async fn serve(
    link: Link,
    beside: Beside,
    sequence: Arc<AtomicU64>,
    queue: mpsc::UnboundedSender<(Order, LinkSender)>,
) {
    let hello = Hello {
        kind: "agent".to_owned(),
        id: beside.id.to_owned(),
        incarnation: INCARNATION,
        failure_domain: "east".to_owned(),
    };
    let Ok(mut link) = link.handshake(framed(frame::Body::Hello(hello))).await else {
        return;
    };
    let mut ticks = tokio::time::interval(HEARTBEAT);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let number = sequence.fetch_add(1, Ordering::Relaxed);
                let _ = link.sender.try_send(heartbeat(&beside, number));
            }
            frame = link.receiver.recv() => {
                let Ok(Some(frame)) = frame else { return };
                let order = match frame.body {
                    Some(frame::Body::Run(run)) => Order::Run(Box::new(run)),
                    Some(frame::Body::Cancel(cancel)) => Order::Cancel(cancel),
                    Some(frame::Body::Revoke(revoke)) => Order::Revoke(revoke),
                    _ => continue,
                };
                let _ = queue.send((order, link.sender.clone()));
            }
        }
    }
}

fn framed(body: frame::Body) -> Frame {
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

fn heartbeat(beside: &Beside, sequence: u64) -> Frame {
    let resident = beside.model.map(|model| Resident {
        model: model.to_owned(),
        version: 1,
        accelerator: 0,
        state: ResidentState::Loaded.into(),
        size_mib: 60,
        age_ms: 1_000,
    });
    framed(frame::Body::Heartbeat(Heartbeat {
        agent: beside.id.to_owned(),
        incarnation: INCARNATION,
        epoch: 1,
        pool: beside.pool.to_owned(),
        failure_domain: "east".to_owned(),
        residents: resident.into_iter().collect(),
        load: Some(load()),
        upstream_up: true,
        accelerators_mib: vec![100],
        sequence,
        ..Heartbeat::default()
    }))
}
