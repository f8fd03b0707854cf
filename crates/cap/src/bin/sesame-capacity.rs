//! Measures costs at several sizes and prints estimates for the required size.

use bpaf::Bpaf;
use cap::measure::{bytes, idle, memory, outage, sampling};
use cap::measurements::Measurements;
use cap::target::{CapacityTarget, NodeBudget};
use cap::{current, proposed, tables};
use std::process::ExitCode;

/// Measure costs at several sizes and estimate them for the required size
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Leave out the measurements with real processes
    no_links: bool,
    /// Only measure the silence of many agents at once
    only_outages: bool,
    /// Only measure the memory of one kind of item, and print its bytes
    #[bpaf(argument("KIND"))]
    memory: Option<memory::MemoryItem>,
    /// Number of items
    #[bpaf(argument("N"), fallback(1_000))]
    size: usize,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    if let Some(item) = arguments.memory {
        println!("{}", memory::memory_growth_bytes(item, arguments.size));
        return ExitCode::SUCCESS;
    }
    if arguments.only_outages {
        return print_outages();
    }
    println!(
        "Machine's load at the start: {}\n",
        sampling::load_averages()
    );
    let mut measurements = Measurements::run();
    println!(
        "Machine's load before the measurements with processes: {}\n",
        sampling::load_averages()
    );
    if !arguments.no_links
        && let Err(error) = measure_processes(&mut measurements)
    {
        eprintln!("sesame-capacity: processes are not measured: {error}");
        return ExitCode::FAILURE;
    }
    print_results(&measurements);
    println!("Machine's load at the end: {}", sampling::load_averages());
    ExitCode::SUCCESS
}

fn print_outages() -> ExitCode {
    match outage::run() {
        Ok(outages) => {
            println!("{}", tables::outage_table(&outages));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("sesame-capacity: outages are not measured: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure_processes(measurements: &mut Measurements) -> std::io::Result<()> {
    measurements.idle_by_agents = idle::by_agents()?;
    measurements.idle_by_entries = idle::by_entries()?;
    measurements.outages = outage::run()?;
    Ok(())
}

fn print_results(measurements: &Measurements) {
    let (target, budget) = (CapacityTarget::REQUIRED, NodeBudget::REQUIRED);
    let message_sizes = bytes::message_sizes();
    let delta = message_sizes
        .iter()
        .find(|message| message.name == bytes::HEARTBEAT_DELTA);
    let delta_bytes = delta.map_or(0.0, |message| message.bytes as f64);
    println!(
        "## Measured series\n\n{}",
        tables::series_table(&measurements.series())
    );
    println!("## Messages\n\n{}", tables::message_table(&message_sizes));
    println!(
        "## Idle processes\n\n{}",
        tables::idle_table(&measurements.idle_by_agents)
    );
    println!(
        "## Idle processes, against entries\n\n{}",
        tables::idle_table(&measurements.idle_by_entries)
    );
    println!(
        "## Simultaneous silence\n\n{}",
        tables::outage_table(&measurements.outages)
    );
    let rows = current::process_rows(measurements, &target, &budget);
    println!(
        "## At the required size, current design\n\n{}",
        tables::results_table(&rows)
    );
    let rows = current::platform(measurements, &target, &budget);
    println!(
        "## The platform's service\n\n{}",
        tables::results_table(&rows)
    );
    let rows = current::events(measurements, &target, &budget);
    println!(
        "## Loss of a failure domain, end of a partition\n\n{}",
        tables::results_table(&rows)
    );
    let rows = proposed::rows(measurements, &target, &budget, delta_bytes);
    println!("## The proposed design\n\n{}", tables::results_table(&rows));
    println!(
        "An agent's start: {} writes, {} reads. A load: {} writes, {} reads. A keyed \
         request: {} writes. A request with 100 parts leaves {} events at the entry.\n",
        measurements.calls_per_start.writes,
        measurements.calls_per_start.reads,
        measurements.calls_per_load.writes,
        measurements.calls_per_load.reads,
        measurements.writes_per_request,
        measurements.events_per_request,
    );
}
