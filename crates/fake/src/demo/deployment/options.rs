//! Options of a deployment.

/// Size and other options of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentOptions {
    /// Number of engines, each with an agent: `oracle-01`, … in the pool `oracle`.
    pub engines: usize,
    /// Number of plain services, each with an agent: `deskapp-01`, … in the pool
    /// `deskapp`.
    pub services: usize,
    /// Number of entries: `entry-1`, …
    pub entries: usize,
    /// Additional command-line arguments of each engine.
    pub engine_arguments: Vec<String>,
    /// Whether engines load weights from a weight store, instead of after a fixed time.
    pub use_weight_store: bool,
    /// Worker threads of each entry's runtime.
    pub entry_worker_threads: u32,
    /// Whether to keep the directory with settings and logs.
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
