//! Generated requests, which depend only on the seed and the request's index.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::json;
use std::net::SocketAddr;

use super::{LoadOptions, Workload};
use crate::text::BYTES_PER_TOKEN;

/// A request and what is needed to compute its expected response.
#[derive(Debug)]
pub(super) struct GeneratedRequest {
    pub(super) workload: Workload,
    pub(super) model: String,
    pub(super) prompt: String,
    /// Idempotency key, for a plain service.
    pub(super) idempotency_key: String,
    target: SocketAddr,
    authorization: Option<String>,
}

impl GeneratedRequest {
    /// Generates the request at `index`. Returns `None` if there are no workloads.
    pub(super) fn new(
        options: &LoadOptions,
        index: u64,
        target: SocketAddr,
    ) -> Option<Self> {
        let mut random = Pcg64::seed_from_u64(options.seed ^ index.rotate_left(32));
        let workload = pick_workload(&options.workloads, &mut random)?.clone();
        let model = pick_model(&workload.models, &mut random);
        Some(Self {
            prompt: build_prompt(&workload, &model, options.seed, index),
            idempotency_key: format!("load-{:x}-{index:x}", options.seed),
            target,
            authorization: (!options.direct)
                .then(|| format!("Bearer {}", options.caller_key)),
            model,
            workload,
        })
    }

    /// Returns whether the request is for a plain service.
    pub(super) fn is_service(&self) -> bool {
        !self.workload.service.is_empty()
    }

    /// Returns the HTTP request, or `None` if a name is not valid in a header or path.
    pub(super) fn request(&self) -> Option<Request<Full<Bytes>>> {
        let path = if self.is_service() {
            format!("/svc/{}/orders", self.workload.service)
        } else {
            "/v1/chat/completions".to_owned()
        };
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.target))
            .header(CONTENT_TYPE, "application/json");
        if let Some(authorization) = &self.authorization {
            request = request
                .header(AUTHORIZATION, authorization)
                .header("x-profile", &self.workload.profile);
        }
        if self.is_service() {
            request = request.header("idempotency-key", &self.idempotency_key);
        }
        request.body(Full::new(Bytes::from(self.body()))).ok()
    }

    fn body(&self) -> String {
        if self.is_service() {
            return json!({"part": self.prompt}).to_string();
        }
        json!({
            "model": self.model,
            "messages": [{"role": "user", "content": self.prompt}],
            "max_tokens": self.workload.max_tokens,
            "stream": self.workload.stream,
        })
        .to_string()
    }
}

fn pick_workload<'a>(
    workloads: &'a [Workload],
    random: &mut Pcg64,
) -> Option<&'a Workload> {
    let total: u64 = workloads
        .iter()
        .map(|workload| u64::from(workload.weight))
        .sum();
    let mut threshold = random.next_u64() % total.max(1);
    workloads.iter().find(|workload| {
        let weight = u64::from(workload.weight);
        let found = threshold < weight;
        threshold = threshold.saturating_sub(weight);
        found
    })
}

/// Picks model *n* (from 0) with a probability proportional to 1/(n+1), so that a few
/// models get most of the requests.
fn pick_model(models: &[String], random: &mut Pcg64) -> String {
    let weights = (1..=models.len()).map(|rank| 1.0 / rank as f64);
    let total: f64 = weights.clone().sum();
    let mut threshold = random.next_u32() as f64 / (f64::from(u32::MAX) + 1.0) * total;
    for (model, weight) in models.iter().zip(weights) {
        if threshold < weight {
            return model.clone();
        }
        threshold -= weight;
    }
    models.last().cloned().unwrap_or_default()
}

fn build_prompt(workload: &Workload, model: &str, seed: u64, index: u64) -> String {
    let repeat_to = |text: String, tokens: u32| -> String {
        let bytes = tokens as usize * BYTES_PER_TOKEN;
        text.chars().cycle().take(bytes).collect()
    };
    let shared = repeat_to(format!("manual of {model}; "), workload.shared_tokens);
    let own = workload
        .prompt_tokens
        .saturating_sub(workload.shared_tokens)
        .max(1);
    // The index is included outside the repeated text, so that no two prompts are
    // equal.
    let own = repeat_to(format!("fault {seed:x}-{index:x} "), own);
    format!("{shared} #{seed:x}-{index:x} {own}")
}
