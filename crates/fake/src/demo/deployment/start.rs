//! Starts a deployment's processes with generated settings.

use schema::settings::{AgentSettings, EntrySettings};
use serde::Serialize;
use std::collections::HashMap;
use std::net::SocketAddr;

use super::{Deployment, Process};
use crate::demo::DemoError;
use crate::demo::child_process::ChildProcess;
use crate::demo::ports::ListenAddresses;

const FAILURE_DOMAINS: [&str; 3] = ["spanish-town", "newport-west", "halfway-tree"];

impl Deployment {
    pub(super) fn start_all(&mut self) -> Result<(), DemoError> {
        let (engines, services) = (self.options.engines, self.options.services);
        let count = engines + services + self.options.entries;
        let listen_addresses = self.ports.listen_addresses(count)?;
        let (agents, entries) = listen_addresses.split_at(engines + services);
        let (engine_agents, service_agents) = agents.split_at(engines);
        self.start_engines(engine_agents)?;
        self.start_services(service_agents)?;
        self.start_entries(entries)?;
        self.directory
            .write("controls.json", &self.control_addresses)?;
        Ok(())
    }

    fn start_stand_in(
        &mut self,
        program: &str,
        name: &str,
        arguments: &[String],
    ) -> Result<(SocketAddr, SocketAddr), DemoError> {
        let program = self.programs.path(program);
        let path = &self.directory.path;
        let (child, address, control) =
            ChildProcess::start_stand_in(&program, name, arguments, path)?;
        self.stand_ins.insert(name.to_owned(), child);
        Ok((address, control))
    }

    fn start_engines(
        &mut self,
        listen_addresses: &[ListenAddresses],
    ) -> Result<(), DemoError> {
        let mut arguments = self.options.engine_arguments.clone();
        if self.options.use_weight_store {
            let (store, control) = self.start_stand_in("fake-store", "store", &[])?;
            self.control_addresses.store = Some(control);
            arguments.extend(["--store".to_owned(), store.to_string()]);
        }
        for (index, listen_addresses) in listen_addresses.iter().enumerate() {
            let id = format!("oracle-{:02}", index + 1);
            let name = format!("engine-{id}");
            let (address, control) =
                self.start_stand_in("fake-engine", &name, &arguments)?;
            self.engine_addresses.push(address);
            self.control_addresses.engines.push(control);
            self.start_agent(
                &id,
                "oracle",
                FAILURE_DOMAINS[index % 3],
                *listen_addresses,
                address,
            )?;
        }
        Ok(())
    }

    fn start_services(
        &mut self,
        listen_addresses: &[ListenAddresses],
    ) -> Result<(), DemoError> {
        for (index, listen_addresses) in listen_addresses.iter().enumerate() {
            let id = format!("deskapp-{:02}", index + 1);
            let name = format!("service-{id}");
            let (address, control) = self.start_stand_in("fake-service", &name, &[])?;
            self.control_addresses.services.push(control);
            self.start_agent(
                &id,
                "deskapp",
                FAILURE_DOMAINS[index % 3],
                *listen_addresses,
                address,
            )?;
        }
        Ok(())
    }

    fn start_agent(
        &mut self,
        id: &str,
        pool: &str,
        domain: &str,
        listen_addresses: ListenAddresses,
        upstream: SocketAddr,
    ) -> Result<(), DemoError> {
        let settings = AgentSettings {
            id: id.to_owned(),
            failure_domain: domain.to_owned(),
            pool: pool.to_owned(),
            link_listen: listen_addresses.link.to_string(),
            operator_listen: listen_addresses.operator.to_string(),
            platform: self.platform.to_string(),
            upstream: upstream.to_string(),
            worker_threads: 2,
            log_level: "info".to_owned(),
            timeline_events: 20_000,
            ..AgentSettings::default()
        };
        self.start_system("sesame-agent", id, &settings, listen_addresses.operator)
    }

    fn start_entries(
        &mut self,
        listen_addresses: &[ListenAddresses],
    ) -> Result<(), DemoError> {
        let name = |index: usize| format!("entry-{}", index + 1);
        for (index, addresses) in listen_addresses.iter().enumerate() {
            let indexed = listen_addresses.iter().enumerate();
            let peers: HashMap<String, String> = indexed
                .filter(|(other, _)| *other != index)
                .map(|(other, peer)| (name(other), peer.link.to_string()))
                .collect();
            let settings = EntrySettings {
                id: name(index),
                failure_domain: FAILURE_DOMAINS[index % 3].to_owned(),
                caller_listen: addresses.caller.to_string(),
                link_listen: addresses.link.to_string(),
                operator_listen: addresses.operator.to_string(),
                platform: self.platform.to_string(),
                peers: peers.into_iter().collect(),
                request_shards: 8,
                worker_threads: self.options.entry_worker_threads,
                log_level: "info".to_owned(),
                timeline_events: 20_000,
                ..EntrySettings::default()
            };
            self.start_system(
                "sesame-entry",
                &name(index),
                &settings,
                addresses.operator,
            )?;
            self.entry_addresses.push(addresses.caller);
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
        let settings = self.directory.write(&format!("{id}.json"), settings)?;
        let program = self.programs.path(program);
        let child =
            ChildProcess::start_system(&program, id, &settings, &self.directory.path)?;
        let process = Process {
            child,
            program,
            settings,
        };
        self.system_processes.insert(id.to_owned(), process);
        self.operator_addresses.insert(id.to_owned(), operator);
        Ok(())
    }
}
