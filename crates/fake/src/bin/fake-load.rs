//! Runs the load generator.

use bpaf::Bpaf;
use fake::load::{self, LoadOptions, Workload};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Sends requests to entries or to an engine and checks every response
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Address of an entry's caller listener; may be given several times
    #[bpaf(argument("IP:PORT"))]
    entry: Vec<SocketAddr>,
    /// Address of an engine, instead of entries
    #[bpaf(argument("IP:PORT"))]
    direct: Option<SocketAddr>,
    /// API key of the caller
    #[bpaf(argument("KEY"), fallback(String::new()))]
    key: String,
    /// JSON file with an array of workloads
    #[bpaf(argument("FILE"))]
    mix: Option<PathBuf>,
    /// Profile, if no mix file is given
    #[bpaf(argument("NAME"), fallback("default".to_owned()))]
    profile: String,
    /// Model, if no mix file is given; may be given several times
    #[bpaf(argument("NAME"))]
    model: Vec<String>,
    /// Tokens per prompt, if no mix file is given
    #[bpaf(argument("N"), fallback(64))]
    prompt_tokens: u32,
    /// Tokens per response, if no mix file is given
    #[bpaf(argument("N"), fallback(16))]
    max_tokens: u64,
    /// Request single-document instead of streamed responses, if no mix file is given
    no_stream: bool,
    /// Number of concurrent requests
    #[bpaf(argument("N"), fallback(8))]
    concurrency: usize,
    /// Requests started per second, instead of a fixed concurrency
    #[bpaf(argument("N"))]
    rate: Option<f64>,
    /// Number of requests to send
    #[bpaf(argument("N"), fallback(100))]
    count: u64,
    /// Seed of the choice of workloads, models and prompts
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Print the report as JSON
    json: bool,
}

fn main() -> ExitCode {
    let args = args().run();
    match drive(args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(WRONG_EXIT),
        Err(fault) => {
            eprintln!("fake-load: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// Exit code if at least one response was wrong.
const WRONG_EXIT: u8 = 2;

fn drive(args: Args) -> std::io::Result<bool> {
    let json = args.json;
    let options = options(args)?;
    let runtime = tokio::runtime::Runtime::new()?;
    let report = runtime.block_on(load::run(options));
    if json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", report.table());
    }
    Ok(report.wrong_responses() == 0)
}

fn options(args: Args) -> std::io::Result<LoadOptions> {
    let workloads = match &args.mix {
        Some(path) => read_mixes(path)?,
        None => vec![Workload {
            profile: args.profile,
            models: args.model,
            prompt_tokens: args.prompt_tokens,
            max_tokens: args.max_tokens,
            stream: !args.no_stream,
            ..Workload::default()
        }],
    };
    Ok(LoadOptions {
        direct: args.direct.is_some(),
        exclude_unavailable_targets: false,
        targets: args.direct.map_or(args.entry, |engine| vec![engine]),
        caller_key: args.key,
        workloads,
        concurrency: args.concurrency,
        rate_per_s: args.rate,
        count: args.count,
        seed: args.seed,
    })
}

fn read_mixes(path: &Path) -> std::io::Result<Vec<Workload>> {
    Ok(serde_json::from_slice(&std::fs::read(path)?)?)
}
