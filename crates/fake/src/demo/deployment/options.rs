//! What a deployment is made of.

/// What a deployment is made of.
#[derive(Debug, Clone)]
pub struct DeploymentOptions {
    /// Engines with an agent each, in the pool `oracle`: `oracle-01` and on.
    pub engines: usize,
    /// Plain services with an agent each, in the pool `deskapp`.
    pub services: usize,
    /// Entries: `entry-1` and on.
    pub entries: usize,
    /// Further arguments of each engine.
    pub engine_arguments: Vec<String>,
    /// Whether weights come from a weight store, not after a fixed time.
    pub use_weight_store: bool,
    /// Runtime threads of an entry.
    pub entry_worker_threads: u32,
    /// Leave the folder with settings and logs in place.
    pub keep_directory: bool,
}

impl Default for DeploymentOptions {
    fn default() -> Self {
        Self {
            engines: 6,
            services: 3,
            entries: 2,
            engine_arguments: vec!["--check-fencing".to_owned()],
            use_weight_store: true,
            entry_worker_threads: 4,
            keep_directory: false,
        }
    }
}
