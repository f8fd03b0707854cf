//! HTTP API of the engine.

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

use super::body::{Api, Shape, StreamBody};
use super::orders::{Fate, Order, Refused};
use super::run::{Event, Run};
use super::{Counts, Engine, Faults, Inner};
use crate::faults::take;
use crate::handle::StandIn;
use crate::http::{self, Answer, Cut, ErrorText};
use crate::service::not_run;
use crate::text::{self, Message};

/// Maximum size of a request body.
const BODY_MAX_BYTES: usize = 8 << 20;

/// Tokens of a response if the request sets no `max_tokens`.
const TOKENS_DEFAULT: u64 = 16;

/// Maximum number of tokens of one response.
const TOKENS_MAX: u64 = 1 << 16;

/// Body of `/v1/chat/completions` and `/v1/completions`.
#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// Headers of a completion request.
#[derive(Debug)]
struct RunHeaders {
    request: String,
    priority: u64,
    resume: u64,
    version: Option<u32>,
}

impl RunHeaders {
    fn read(request: &Request<Incoming>) -> Self {
        let version = http::number(request, "x-model-version");
        Self {
            request: http::header(request, "x-request-id")
                .unwrap_or("")
                .to_owned(),
            priority: http::number(request, "x-priority").unwrap_or(0),
            resume: http::number(request, "x-resume-offset").unwrap_or(0),
            version: version.and_then(|version| u32::try_from(version).ok()),
        }
    }
}

impl StandIn for Engine {
    type Faults = Faults;
    type Counts = Counts;

    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Answer> + Send>> {
        Box::pin(async move { self.serve(request).await })
    }

    fn set_faults(&self, faults: Faults) {
        self.cutter.set_away(faults.closed);
        self.inner.lock().faults = faults;
    }

    fn faults(&self) -> Faults {
        self.inner.lock().faults.clone()
    }

    fn counts(&self) -> Counts {
        self.inner.lock().counts.clone()
    }

    fn command(self: Arc<Self>, name: &str) -> bool {
        match name {
            "crash" => self.crash_now(),
            "deliver" => self.deliver_late_orders(),
            _ => return false,
        }
        true
    }
}

impl Engine {
    async fn serve(self: &Arc<Self>, request: Request<Incoming>) -> Answer {
        if request.uri().path().starts_with("/admin/") {
            let delay_ms = self.inner.lock().faults.admin_delay_ms;
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/chat/completions") => {
                self.run(Api::Chat, request).await
            }
            (&Method::POST, "/v1/completions") => {
                self.run(Api::Completions, request).await
            }
            (&Method::POST, "/admin/orders") => self.order(request).await,
            (&Method::GET, "/admin/state") => {
                Ok(http::json(StatusCode::OK, &self.report()))
            }
            _ => Ok(http::text(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    async fn order(self: &Arc<Self>, request: Request<Incoming>) -> Answer {
        let order: Order = match http::read_json(request, BODY_MAX_BYTES).await? {
            Ok(order) => order,
            Err(answer) => return Ok(answer),
        };
        let accepted = Ok(http::text(StatusCode::ACCEPTED, ""));
        match self.order_fate() {
            Fate::Answered => {}
            Fate::Lost => return Err(Cut),
            Fate::Ignored => return accepted,
            Fate::AnswerLost => {
                // The response is lost, so a refusal is not reported either.
                let _ = self.apply(order);
                return Err(Cut);
            }
            Fate::Late => {
                self.delay(order);
                return Err(Cut);
            }
        }
        let error = |status, error: &str| {
            let error = error.to_owned();
            Ok(http::json(status, &ErrorText { error }))
        };
        match self.apply(order) {
            Ok(()) => accepted,
            Err(Refused::Fenced) => error(StatusCode::CONFLICT, "fenced"),
            Err(Refused::Bad) => error(StatusCode::BAD_REQUEST, "no such accelerator"),
        }
    }

    async fn run(&self, api: Api, request: Request<Incoming>) -> Answer {
        let headers = RunHeaders::read(&request);
        let asked: Completion = match http::read_json(request, BODY_MAX_BYTES).await? {
            Ok(asked) => asked,
            Err(answer) => return Ok(answer),
        };
        let (resume, stream) = (headers.resume, asked.stream);
        let Some((shape, events)) = self.enqueue(api, headers, &asked) else {
            self.inner.lock().counts.refused += 1;
            return Ok(not_run());
        };
        if stream {
            return Ok(stream_answer(shape, events));
        }
        whole_answer(&shape, events, resume).await
    }

    /// Queues a run. Returns `None` if no accelerator can serve the model, the queue is
    /// full or a fault refuses the run.
    fn enqueue(
        &self,
        api: Api,
        headers: RunHeaders,
        asked: &Completion,
    ) -> Option<(Shape, UnboundedReceiver<Event>)> {
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
        let index = inner.emptiest(&asked.model, headers.version)?;
        let accelerator = &mut inner.accelerators[index];
        let full = accelerator.waiting.len() >= self.options.waiting_max;
        if full || take(&mut inner.faults.refuse_runs) {
            return None;
        }
        let held = accelerator.serves(&asked.model, headers.version)?.clone();
        let shape = Shape::new(api, &headers, asked, held.version);
        let (sender, events) = mpsc::unbounded_channel();
        let mut run = self.new_run(&shape, headers, asked.prompt_text(api), sender);
        run.base = held.base;
        if take(&mut inner.faults.break_runs) {
            run.break_at = Some(run.next + inner.faults.break_after_tokens);
        }
        accelerator.enqueue(run);
        self.wakes[index].notify_one();
        Some((shape, events))
    }

    fn new_run(
        &self,
        shape: &Shape,
        headers: RunHeaders,
        prompt: String,
        events: UnboundedSender<Event>,
    ) -> Run {
        let next = headers.resume.min(shape.total);
        let crash = self.options.crash_text.as_deref();
        Run {
            request: headers.request,
            model: shape.model.clone(),
            version: shape.version,
            base: None,
            priority: headers.priority,
            next,
            total: shape.total,
            // A resumed run also prefills the tokens that were delivered before.
            prefill_left: u64::from(shape.prompt_tokens) + next,
            break_at: None,
            crashes: crash.is_some_and(|text| prompt.contains(text)),
            prompt,
            events,
        }
    }
}

impl Inner {
    /// Returns the accelerator with the fewest requests among those that can serve a
    /// model.
    fn emptiest(&self, model: &str, version: Option<u32>) -> Option<usize> {
        let holders = self.accelerators.iter().enumerate();
        holders
            .filter(|(_, one)| one.serves(model, version).is_some())
            .min_by_key(|(_, one)| one.running.len() + one.waiting.len())
            .map(|(index, _)| index)
    }
}

impl Completion {
    fn prompt_text(&self, api: Api) -> String {
        match api {
            Api::Chat => text::chat_prompt(&self.messages),
            Api::Completions => self.prompt.clone(),
        }
    }
}

impl Shape {
    fn new(api: Api, headers: &RunHeaders, asked: &Completion, version: u32) -> Self {
        let prompt = asked.prompt_text(api);
        Self {
            api,
            id: headers.request.clone(),
            model: asked.model.clone(),
            version,
            answer: text::ResponseText::new(&asked.model, version, &prompt),
            prompt_tokens: text::count_prompt_tokens(&prompt),
            total: asked.max_tokens.unwrap_or(TOKENS_DEFAULT).min(TOKENS_MAX),
        }
    }
}

fn stream_answer(
    shape: Shape,
    events: UnboundedReceiver<Event>,
) -> Response<http::Body> {
    let body = StreamBody {
        shape,
        events,
        ended: false,
    };
    let mut answer = Response::new(body.boxed());
    let kind = HeaderValue::from_static("text/event-stream");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

async fn whole_answer(
    shape: &Shape,
    mut events: UnboundedReceiver<Event>,
    resume: u64,
) -> Answer {
    while let Some(event) = events.recv().await {
        if event == Event::Done {
            return Ok(http::json(StatusCode::OK, &shape.whole(resume)));
        }
    }
    Err(Cut)
}
