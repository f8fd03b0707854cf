//! Measures slopes and prints what they come to at the users' target.

use bpaf::Bpaf;
use cap::measure::{bytes, clock, links, memory, outage};
use cap::measured::Measured;
use cap::target::{Budget, Target};
use cap::{ahead, built, text};
use std::process::ExitCode;

/// Measures slopes and prints what they come to at the users' target
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Leave out the links between real processes
    no_links: bool,
    /// Only measure the silence of many agents at once
    only_outages: bool,
    /// Only measure the memory of one kind of thing, and print its bytes
    #[bpaf(argument("KIND"))]
    memory: Option<memory::Kept>,
    /// How many of them
    #[bpaf(argument("N"), fallback(1_000))]
    size: usize,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    if let Some(kept) = arguments.memory {
        println!("{}", memory::grown_bytes(kept, arguments.size));
        return ExitCode::SUCCESS;
    }
    if arguments.only_outages {
        return only_outages();
    }
    println!("Machine's load at the start: {}\n", clock::machine_load());
    let mut measured = Measured::run();
    println!(
        "Machine's load before the links: {}\n",
        clock::machine_load()
    );
    if !arguments.no_links
        && let Err(error) = links_of(&mut measured)
    {
        eprintln!("sesame-capacity: links are not measured: {error}");
        return ExitCode::FAILURE;
    }
    print(&measured);
    println!("Machine's load at the end: {}", clock::machine_load());
    ExitCode::SUCCESS
}

fn only_outages() -> ExitCode {
    match outage::run() {
        Ok(outages) => {
            println!("{}", text::outages(&outages));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("sesame-capacity: outages are not measured: {error}");
            ExitCode::FAILURE
        }
    }
}

fn links_of(measured: &mut Measured) -> std::io::Result<()> {
    measured.links = links::run()?;
    measured.mesh = links::mesh()?;
    measured.outages = outage::run()?;
    Ok(())
}

fn print(measured: &Measured) {
    let (target, budget) = (Target::USERS, Budget::USERS);
    let fixed = bytes::fixed();
    let delta = fixed.iter().find(|one| one.name == bytes::DELTA);
    let delta_bytes = delta.map_or(0.0, |one| one.bytes as f64);
    println!("## Slopes\n\n{}", text::slopes(&measured.series()));
    println!("## Messages\n\n{}", text::fixed(&fixed));
    println!("## Processes at rest\n\n{}", text::links(&measured.links));
    println!("## A mesh at rest\n\n{}", text::links(&measured.mesh));
    println!("## Silence at once\n\n{}", text::outages(&measured.outages));
    let rows = built::rows(measured, &target, &budget);
    println!("## At the target, as built\n\n{}", text::results(&rows));
    let rows = built::platform(measured, &target, &budget);
    println!("## The platform's service\n\n{}", text::results(&rows));
    let rows = built::events(measured, &target, &budget);
    println!("## Loss and cut\n\n{}", text::results(&rows));
    let rows = ahead::ahead(measured, &target, &budget, delta_bytes);
    println!("## The design ahead\n\n{}", text::results(&rows));
    println!(
        "An agent's start: {} writes, {} reads. A load: {} writes, {} reads. A keyed \
         call: {} writes. A request with 100 parts leaves {} events at the entry.\n",
        measured.calls_of_start.writes,
        measured.calls_of_start.reads,
        measured.calls_of_load.writes,
        measured.calls_of_load.reads,
        measured.writes_per_claim,
        measured.notes_per_request,
    );
}
