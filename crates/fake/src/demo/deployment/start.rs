//! Starts a deployment's processes with generated settings.

use schema::settings::{AgentSettings, EntrySettings};
use serde::Serialize;
use std::collections::HashMap;
use std::net::SocketAddr;

use super::{Deployment, Process};
use crate::demo::DemoError;
use crate::demo::children::Running;
use crate::demo::ports::Listeners;

const DOMAINS: [&str; 3] = ["spanish-town", "newport-west", "halfway-tree"];

impl Deployment {
    pub(super) fn start_all(&mut self) -> Result<(), DemoError> {
        let (engines, services) = (self.options.engines, self.options.services);
        let count = engines + services + self.options.entries;
        let listeners = self.ports.listeners(count)?;
        let (agents, entries) = listeners.split_at(engines + services);
        let (beside_engines, beside_services) = agents.split_at(engines);
        self.start_engines(beside_engines)?;
        self.start_services(beside_services)?;
        self.start_entries(entries)?;
        self.folder.write("controls.json", &self.controls)?;
        Ok(())
    }

    fn start_fake(
        &mut self,
        program: &str,
        name: &str,
        arguments: &[String],
    ) -> Result<(SocketAddr, SocketAddr), DemoError> {
        let program = self.programs.path(program);
        let path = &self.folder.path;
        let (child, address, control) =
            Running::start_fake(&program, name, arguments, path)?;
        self.fakes.insert(name.to_owned(), child);
        Ok((address, control))
    }

    fn start_engines(&mut self, listeners: &[Listeners]) -> Result<(), DemoError> {
        let mut arguments = self.options.engine_arguments.clone();
        if self.options.use_weight_store {
            let (store, control) = self.start_fake("fake-store", "store", &[])?;
            self.controls.store = Some(control);
            arguments.extend(["--store".to_owned(), store.to_string()]);
        }
        for (place, listeners) in listeners.iter().enumerate() {
            let id = format!("oracle-{:02}", place + 1);
            let name = format!("engine-{id}");
            let (address, control) =
                self.start_fake("fake-engine", &name, &arguments)?;
            self.engines.push(address);
            self.controls.engines.push(control);
            self.start_agent(&id, "oracle", DOMAINS[place % 3], *listeners, address)?;
        }
        Ok(())
    }

    fn start_services(&mut self, listeners: &[Listeners]) -> Result<(), DemoError> {
        for (place, listeners) in listeners.iter().enumerate() {
            let id = format!("deskapp-{:02}", place + 1);
            let name = format!("service-{id}");
            let (address, control) = self.start_fake("fake-service", &name, &[])?;
            self.controls.services.push(control);
            self.start_agent(&id, "deskapp", DOMAINS[place % 3], *listeners, address)?;
        }
        Ok(())
    }

    fn start_agent(
        &mut self,
        id: &str,
        pool: &str,
        domain: &str,
        listeners: Listeners,
        upstream: SocketAddr,
    ) -> Result<(), DemoError> {
        let settings = AgentSettings {
            id: id.to_owned(),
            failure_domain: domain.to_owned(),
            pool: pool.to_owned(),
            link_listen: listeners.link.to_string(),
            operator_listen: listeners.operator.to_string(),
            platform: self.platform.to_string(),
            upstream: upstream.to_string(),
            worker_threads: 2,
            log_level: "info".to_owned(),
            timeline_events: 20_000,
            ..AgentSettings::default()
        };
        self.start_system("sesame-agent", id, &settings, listeners.operator)
    }

    fn start_entries(&mut self, listeners: &[Listeners]) -> Result<(), DemoError> {
        let name = |place: usize| format!("entry-{}", place + 1);
        for (place, own) in listeners.iter().enumerate() {
            let others = listeners.iter().enumerate();
            let peers: HashMap<String, String> = others
                .filter(|(other, _)| *other != place)
                .map(|(other, of)| (name(other), of.link.to_string()))
                .collect();
            let settings = EntrySettings {
                id: name(place),
                failure_domain: DOMAINS[place % 3].to_owned(),
                caller_listen: own.caller.to_string(),
                link_listen: own.link.to_string(),
                operator_listen: own.operator.to_string(),
                platform: self.platform.to_string(),
                peers: peers.into_iter().collect(),
                request_shards: 8,
                worker_threads: self.options.entry_worker_threads,
                log_level: "info".to_owned(),
                timeline_events: 20_000,
                ..EntrySettings::default()
            };
            self.start_system("sesame-entry", &name(place), &settings, own.operator)?;
            self.callers.push(own.caller);
        }
        Ok(())
    }

    fn start_system<S: Serialize>(
        &mut self,
        program: &str,
        id: &str,
        settings: &S,
        operator: SocketAddr,
    ) -> Result<(), DemoError> {
        let settings = self.folder.write(&format!("{id}.json"), settings)?;
        let program = self.programs.path(program);
        let running =
            Running::start_system(&program, id, &settings, &self.folder.path)?;
        let process = Process {
            running,
            program,
            settings,
        };
        self.system.insert(id.to_owned(), process);
        self.operators.insert(id.to_owned(), operator);
        Ok(())
    }
}
