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

use super::orders::{Order, OrderError, OrderFault};
use super::response_body::{Api, ResponseTemplate, StreamBody};
use super::run::{Run, RunEvent};
use super::{Counts, Engine, Faults, Inner};
use crate::fault_count::consume;
use crate::handle::StandIn;
use crate::http::{self, ConnectionAborted, ErrorBody, ResponseResult};
use crate::service::not_run;
use crate::text::{self, Message};

/// Maximum size of a request body.
const BODY_MAX_BYTES: usize = 8 << 20;

/// Tokens of a response if the request sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Maximum number of tokens of one response.
const TOKENS_MAX: u64 = 1 << 16;

/// Body of `/v1/chat/completions` and `/v1/completions`.
#[derive(Debug, Deserialize)]
struct CompletionRequest {
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
    request_id: String,
    priority: u64,
    resume_offset: u64,
    version: Option<u32>,
}

impl RunHeaders {
    fn from_request(request: &Request<Incoming>) -> Self {
        let version = http::header_number(request, "x-model-version");
        Self {
            request_id: http::header_text(request, "x-request-id")
                .unwrap_or("")
                .to_owned(),
            priority: http::header_number(request, "x-priority").unwrap_or(0),
            resume_offset: http::header_number(request, "x-resume-offset").unwrap_or(0),
            version: version.and_then(|version| u32::try_from(version).ok()),
        }
    }
}

impl StandIn for Engine {
    type Faults = Faults;
    type Counts = Counts;

    fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = ResponseResult> + Send>> {
        Box::pin(async move { self.serve(request).await })
    }

    fn set_faults(&self, faults: Faults) {
        self.connection_closer.set_rejecting(faults.closed);
        self.inner.lock().faults = faults;
    }

    fn faults(&self) -> Faults {
        self.inner.lock().faults.clone()
    }

    fn counts(&self) -> Counts {
        self.inner.lock().counts.clone()
    }

    fn run_command(self: Arc<Self>, name: &str) -> bool {
        match name {
            "crash" => self.crash(),
            "deliver" => self.deliver_late_orders(),
            _ => return false,
        }
        true
    }
}

impl Engine {
    async fn serve(self: &Arc<Self>, request: Request<Incoming>) -> ResponseResult {
        if request.uri().path().starts_with("/admin/") {
            let delay_ms = self.inner.lock().faults.admin_delay_ms;
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/chat/completions") => {
                self.serve_run(Api::Chat, request).await
            }
            (&Method::POST, "/v1/completions") => {
                self.serve_run(Api::Completions, request).await
            }
            (&Method::POST, "/admin/orders") => self.serve_order(request).await,
            (&Method::GET, "/admin/state") => {
                Ok(http::json_response(StatusCode::OK, &self.report()))
            }
            _ => Ok(http::text_response(StatusCode::NOT_FOUND, "no such call")),
        }
    }

    async fn serve_order(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> ResponseResult {
        let order: Order = match http::read_json(request, BODY_MAX_BYTES).await? {
            Ok(order) => order,
            Err(response) => return Ok(response),
        };
        let accepted = Ok(http::text_response(StatusCode::ACCEPTED, ""));
        match self.take_order_fault() {
            OrderFault::None => {}
            OrderFault::RequestLost => return Err(ConnectionAborted),
            OrderFault::Ignored => return accepted,
            OrderFault::ResponseLost => {
                // The response is lost, so a refusal is not reported either.
                let _ = self.apply_order(order);
                return Err(ConnectionAborted);
            }
            OrderFault::Delayed => {
                self.delay_order(order);
                return Err(ConnectionAborted);
            }
        }
        let error = |status, error: &str| {
            let error = error.to_owned();
            Ok(http::json_response(status, &ErrorBody { error }))
        };
        match self.apply_order(order) {
            Ok(()) => accepted,
            Err(OrderError::Fenced) => error(StatusCode::CONFLICT, "fenced"),
            Err(OrderError::Invalid) => {
                error(StatusCode::BAD_REQUEST, "no such accelerator")
            }
        }
    }

    async fn serve_run(&self, api: Api, request: Request<Incoming>) -> ResponseResult {
        let headers = RunHeaders::from_request(&request);
        let completion: CompletionRequest =
            match http::read_json(request, BODY_MAX_BYTES).await? {
                Ok(completion) => completion,
                Err(response) => return Ok(response),
            };
        let (resume_offset, stream) = (headers.resume_offset, completion.stream);
        let Some((template, events)) = self.enqueue(api, headers, &completion) else {
            self.inner.lock().counts.refused += 1;
            return Ok(not_run());
        };
        if stream {
            return Ok(streamed_response(template, events));
        }
        single_response(&template, events, resume_offset).await
    }

    /// Queues a run. Returns `None` if no accelerator can serve the model, the queue is
    /// full or a fault refuses the run.
    fn enqueue(
        &self,
        api: Api,
        headers: RunHeaders,
        completion: &CompletionRequest,
    ) -> Option<(ResponseTemplate, UnboundedReceiver<RunEvent>)> {
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
        let index = inner.least_loaded(&completion.model, headers.version)?;
        let accelerator = &mut inner.accelerators[index];
        let full = accelerator.waiting.len() >= self.options.waiting_max;
        if full || consume(&mut inner.faults.refuse_runs) {
            return None;
        }
        let resident = accelerator
            .find_servable(&completion.model, headers.version)?
            .clone();
        let template =
            ResponseTemplate::new(api, &headers, completion, resident.version);
        let (sender, events) = mpsc::unbounded_channel();
        let mut run =
            self.new_run(&template, headers, completion.prompt_text(api), sender);
        run.base = resident.base;
        if consume(&mut inner.faults.break_runs) {
            run.abort_at = Some(run.next_token + inner.faults.break_after_tokens);
        }
        accelerator.enqueue(run);
        self.step_wakeups[index].notify_one();
        Some((template, events))
    }

    fn new_run(
        &self,
        template: &ResponseTemplate,
        headers: RunHeaders,
        prompt: String,
        events: UnboundedSender<RunEvent>,
    ) -> Run {
        let next_token = headers.resume_offset.min(template.total_tokens);
        let crash = self.options.crash_text.as_deref();
        Run {
            request_id: headers.request_id,
            model: template.model.clone(),
            version: template.version,
            base: None,
            priority: headers.priority,
            next_token,
            total_tokens: template.total_tokens,
            // A resumed run also prefills the tokens that were delivered before.
            prefill_remaining: u64::from(template.prompt_tokens) + next_token,
            abort_at: None,
            crashes_engine: crash.is_some_and(|text| prompt.contains(text)),
            prompt,
            events,
        }
    }
}

impl Inner {
    /// Returns the accelerator with the fewest requests among those that can serve a
    /// model.
    fn least_loaded(&self, model: &str, version: Option<u32>) -> Option<usize> {
        let holders = self.accelerators.iter().enumerate();
        holders
            .filter(|(_, accelerator)| {
                accelerator.find_servable(model, version).is_some()
            })
            .min_by_key(|(_, accelerator)| {
                accelerator.running.len() + accelerator.waiting.len()
            })
            .map(|(index, _)| index)
    }
}

impl CompletionRequest {
    fn prompt_text(&self, api: Api) -> String {
        match api {
            Api::Chat => text::chat_prompt(&self.messages),
            Api::Completions => self.prompt.clone(),
        }
    }
}

impl ResponseTemplate {
    fn new(
        api: Api,
        headers: &RunHeaders,
        completion: &CompletionRequest,
        version: u32,
    ) -> Self {
        let prompt = completion.prompt_text(api);
        Self {
            api,
            id: headers.request_id.clone(),
            model: completion.model.clone(),
            version,
            text: text::ResponseText::new(&completion.model, version, &prompt),
            prompt_tokens: text::count_prompt_tokens(&prompt),
            total_tokens: completion
                .max_tokens
                .unwrap_or(DEFAULT_MAX_TOKENS)
                .min(TOKENS_MAX),
        }
    }
}

fn streamed_response(
    template: ResponseTemplate,
    events: UnboundedReceiver<RunEvent>,
) -> Response<http::Body> {
    let body = StreamBody {
        template,
        events,
        finished: false,
    };
    let mut response = Response::new(body.boxed());
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

async fn single_response(
    template: &ResponseTemplate,
    mut events: UnboundedReceiver<RunEvent>,
    resume_offset: u64,
) -> ResponseResult {
    while let Some(event) = events.recv().await {
        if event == RunEvent::Done {
            return Ok(http::json_response(
                StatusCode::OK,
                &template.single_document(resume_offset),
            ));
        }
    }
    Err(ConnectionAborted)
}
