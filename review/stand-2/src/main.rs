//! Plays one case of the review on loopback: `stand-2 CASE FOLDER`. `TROUBLE=0` leaves the
//! disruption out. Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.

mod case_part;
mod case_rolled;
mod case_taken_up;
mod case_two_runs;
mod client;
mod front;
mod http;
mod names;
mod record;
mod server;
mod store;

use crate::front::Front;
use crate::names::fill;
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// The deployment of a case.
pub struct Lab {
    pub record: Record,
    pub store: Store,
    pub servers: Vec<Server>,
    pub fronts: Vec<Front>,
    pub trouble: bool,
    folder: PathBuf,
    /// Number of servers that were started.
    started: usize,
}

/// The zones of the small deployment.
pub const ZONES: [&str; 3] = ["spanish-town", "newport-west", "halfway-tree"];

/// Zones of its four entries.
pub const FRONT_ZONES: [usize; 4] = [0, 0, 1, 2];

impl Lab {
    /// Starts a store, `servers` servers of which the first `holders` hold the model, and
    /// four entries.
    fn start(record: Record, servers: usize, holders: usize, pace_ms: u64) -> std::io::Result<Self> {
        let process = std::process::id();
        let ip = |host: u8| {
            let (high, low) = ((process >> 8) as u8, process as u8);
            IpAddr::V4(Ipv4Addr::new(127, high | 64, low, host))
        };
        let folder = std::env::temp_dir().join(format!("stand-2-{process}"));
        std::fs::create_dir_all(&folder)?;
        let store = Store::start(ip(1))?;
        let config = fill(names::CONFIG, &[("ITL", "400")]);
        store.put("config", "main", Some(&config));
        let started = (0..servers).map(|index| {
            let id = format!("i-{:08x}", 0x5e1f_0000_u32 + index as u32 * 7919);
            let zone = ZONES[index % ZONES.len()];
            let at = ip(100 + index as u8);
            Server::start(at, (&id, zone, "v1"), pace_ms, index < holders, &record)
        });
        let servers: Vec<Server> = started.collect::<Result<_, _>>()?;
        for server in &servers {
            store.put("servers", &server.id, Some(&server.entry()));
        }
        let ips: Vec<IpAddr> = (0..FRONT_ZONES.len()).map(|index| ip(10 + index as u8)).collect();
        let fronts = ips.iter().zip(FRONT_ZONES).enumerate().map(|(index, (ip, zone))| {
            let name = format!("entry-{}-{}", ZONES[zone], index + 1);
            Front::new(&folder, &name, ZONES[zone], *ip, store.address, &ips[..3])
        });
        let fronts = fronts.collect();
        let servers_started = servers.len();
        let mut lab = Self {
            record,
            store,
            servers,
            fronts,
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            folder,
            started: servers_started,
        };
        for front in &mut lab.fronts {
            front.start(true)?;
        }
        Ok(lab)
    }

    fn wait_ready(&self) -> bool {
        self.fronts.iter().all(Front::wait_ready)
    }

    /// Replaces servers that have crashed by new ones, with new ids, after `after_ms`. The
    /// entries of the old ones lapse.
    pub fn replace_crashed(&mut self, after_ms: u64, bad_part: Option<&str>) {
        for index in 0..self.servers.len() {
            if !self.servers[index].has_crashed() {
                continue;
            }
            let number = self.started;
            self.started += 1;
            let old = self.servers[index].clone();
            let id = format!("i-{:08x}", 0x5e1f_0000_u32 + number as u32 * 7919);
            let zone = ZONES[index % ZONES.len()];
            let started = Server::start(old.address.ip(), (&id, zone, "v1"), old.pace_ms, true, &self.record);
            let Ok(new) = started else { continue };
            *new.bad_part.lock().expect("no holder panics") = bad_part.map(str::to_owned);
            let (store, record, entry) = (self.store.clone(), self.record.clone(), new.clone());
            std::thread::spawn(move || {
                std::thread::sleep(std::time::Duration::from_millis(after_ms));
                store.put("servers", &entry.id, Some(&entry.entry()));
                record.note(format!("server {} is back as {}", old.id, entry.id));
                // Three heartbeats without a word.
                std::thread::sleep(std::time::Duration::from_millis(3_600_u64.saturating_sub(after_ms)));
                store.put("servers", &old.id, None);
            });
            self.servers[index] = new;
        }
    }

    pub fn sleep_until(&self, ms: u64) {
        let left = ms.saturating_sub(self.record.now_ms());
        std::thread::sleep(std::time::Duration::from_millis(left));
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        self.fronts.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn play(case: &str, folder: &Path) -> Result<Verdict, String> {
    let record = Record::start(&folder.join("record.txt")).map_err(|error| error.to_string())?;
    record.note(format!("case {case}"));
    let noted = record.clone();
    let started = match case {
        "taken-up" => Lab::start(record, 18, 18, case_taken_up::PACE_MS),
        "part" => Lab::start(record, 18, 18, case_part::PACE_MS),
        "rolled" => Lab::start(record, 18, 18, case_rolled::PACE_MS),
        "two-runs" => Lab::start(record, 18, 2, case_two_runs::PACE_MS),
        other => return Err(format!("unknown case {other}")),
    };
    let mut lab = started.map_err(|error| {
        noted.note(format!("the play could not start: {error}"));
        error.to_string()
    })?;
    if !lab.wait_ready() {
        noted.note("an entry did not become ready");
        return Ok(Verdict::NotRun("an entry did not become ready".to_owned()));
    }
    lab.record.note("all entries are ready");
    let verdict = match case {
        "part" => case_part::play(&mut lab),
        "rolled" => case_rolled::play(&mut lab),
        "taken-up" => case_taken_up::play(&mut lab),
        _ => case_two_runs::play(&mut lab),
    };
    drop(lab);
    noted.note(match &verdict {
        Verdict::Held => "the rule held".to_owned(),
        Verdict::Broken => "the rule was broken".to_owned(),
        Verdict::NotRun(why) => format!("the case could not run: {why}"),
    });
    Ok(verdict)
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("stand-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    match play(&case, Path::new(&folder)) {
        Ok(Verdict::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Ok(Verdict::NotRun(why)) | Err(why) => {
            eprintln!("the case could not run: {why}");
            ExitCode::from(2)
        }
    }
}
