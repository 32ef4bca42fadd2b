//! Runs a whole cluster as processes on loopback: instances, backend servers and platform.

use protocol::settings::{Listen, Peer, Platform, Settings, Stop, Storage};
use serde_json::Value;
use state::budget::Amount;
use state::control::{Config, Deployment, Role, Server, Service, Weights};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Time limit for all instances to hold leases and have the configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of ports of one instance: for callers, operators and peers.
const PORTS_PER_INSTANCE: usize = 3;

/// Interval at which the status of the instances is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Description of a cluster to start.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Name of the deployment.
    pub deployment: String,
    /// Names of the failure domains; instances and backend servers are spread over them.
    pub failure_domains: Vec<String>,
    /// Number of instances.
    pub instances: usize,
    /// Number of instances with a disk, which hold the replicas; as the failure domains take
    /// turns, each domain has one of them before any has two.
    pub disks: usize,
    /// Name of the model service and its number of engines.
    pub model: (String, usize),
    /// Name of the tool service and its number of backend servers.
    pub tool: (String, usize),
    /// Additional command-line arguments of each engine.
    pub engine_arguments: Vec<String>,
    /// Number of slots of each engine.
    pub slots: u32,
    /// Delay with which the instance list is published, in milliseconds.
    pub list_lag_ms: u64,
    /// Relative weights of latency and cache use for placement.
    pub weights: Weights,
    /// Time for which callers may cache the address of an instance, in milliseconds.
    pub address_ttl_ms: u64,
    /// Policy for the order of calls and their placement.
    pub policy: coordination::entry::policy::Name,
}

impl Spec {
    /// Returns the Voskuilen deployment at its current size.
    pub fn voskuilen() -> Self {
        Self {
            deployment: "voskuilen".into(),
            failure_domains: ["nl-west-a", "nl-west-b", "nl-west-c"].map(String::from).to_vec(),
            instances: 8,
            disks: 3,
            model: ("taalmodel".into(), 20),
            tool: ("offerte-app".into(), 10),
            engine_arguments: Vec::new(),
            slots: 4,
            list_lag_ms: 10_000,
            weights: Weights { latency: 1, cache: 3 },
            address_ttl_ms: 1_500,
            policy: coordination::entry::policy::Name::default(),
        }
    }

    /// Returns the Magnolia deployment at its current size.
    pub fn magnolia() -> Self {
        Self {
            deployment: "magnolia".into(),
            failure_domains: ["atl", "bhm", "msy"].map(String::from).to_vec(),
            model: ("agent-models".into(), 10),
            tool: ("stand-apps".into(), 5),
            weights: Weights { latency: 3, cache: 1 },
            ..Self::voskuilen()
        }
    }

    fn failure_domain(&self, index: usize) -> String {
        self.failure_domains[index % self.failure_domains.len()].clone()
    }
}

/// One instance of the cluster.
#[derive(Debug)]
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Address on which it listens for callers.
    pub caller_address: String,
    /// Address on which it listens for operators.
    pub operator_address: String,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
}

/// A running cluster; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    /// Description from which the cluster was started.
    pub spec: Spec,
    /// Instances, whether they run or not.
    pub instances: Vec<Instance>,
    /// Configuration with which the cluster was started.
    pub config: Config,
    /// Base URL of the platform stand-in.
    pub platform_url: String,
    /// Folder with settings, logs, ledgers and data of the run.
    pub folder: PathBuf,
    /// Arguments and process of each stand-in, by name.
    standins: BTreeMap<String, (Vec<String>, Option<Child>)>,
    /// Addresses that are not assigned to a process yet.
    free_addresses: Vec<String>,
    /// Folder with the binaries of the daemon and the stand-ins.
    binaries: PathBuf,
}

/// Picks loopback addresses with free ports.
fn addresses(count: usize) -> std::io::Result<Vec<String>> {
    // All listeners stay open until the end, so that the kernel does not pick a port twice.
    let listeners: std::io::Result<Vec<TcpListener>> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
    listeners?.iter().map(|listener| Ok(listener.local_addr()?.to_string())).collect()
}

impl Cluster {
    /// Starts all processes of a cluster.
    ///
    /// # Errors
    ///
    /// Returns an error if a binary cannot be built or started, or a file cannot be written.
    pub fn start(spec: Spec, folder: &Path) -> std::io::Result<Cluster> {
        Self::start_with(spec, folder, &|_, _, address| address.to_owned())
    }

    /// Like [`Cluster::start`], with custom addresses between the instances.
    ///
    /// `peer_address` maps the index of an instance, the index of a peer and the peer's listen
    /// address to the address under which the instance reaches that peer.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Cluster::start`].
    pub fn start_with(
        spec: Spec,
        folder: &Path,
        peer_address: &dyn Fn(usize, usize, &str) -> String,
    ) -> std::io::Result<Cluster> {
        let binaries = build_binaries()?;
        std::fs::create_dir_all(folder.join("ledgers"))?;
        // All ports are picked at once: the kernel may pick the port of a process again while
        // that process has not bound it yet.
        let count = 1 + spec.model.1 + spec.tool.1 + spec.instances * PORTS_PER_INSTANCE;
        let mut free_addresses = addresses(count)?;
        let platform_address = free_addresses.remove(0);
        let mut cluster = Cluster {
            config: Config::default(),
            platform_url: format!("http://{platform_address}"),
            instances: Vec::new(),
            folder: folder.to_owned(),
            standins: BTreeMap::new(),
            free_addresses,
            binaries,
            spec,
        };
        cluster.add_platform(&platform_address)?;
        cluster.add_servers()?;
        cluster.add_instances(peer_address)?;
        for index in 0..cluster.instances.len() {
            cluster.start_instance(index)?;
        }
        Ok(cluster)
    }

    /// Starts the platform stand-in.
    fn add_platform(&mut self, address: &str) -> std::io::Result<()> {
        let lag = self.spec.list_lag_ms.to_string();
        let arguments = ["platform", "--listen", address, "--lag-ms", &lag];
        self.start_standin("platform", arguments.map(String::from).to_vec())
    }

    /// Starts the backend servers and adds them, their services and the deployment to the
    /// configuration.
    fn add_servers(&mut self) -> std::io::Result<()> {
        let spec = self.spec.clone();
        let (model, engines) = spec.model.clone();
        let (tool, tools) = spec.tool.clone();
        let addresses: Vec<String> = self.free_addresses.drain(..engines + tools).collect();
        let service = |role| Service {
            role,
            version: if role == Role::Engine { "v1".into() } else { String::new() },
            is_urgent: false,
            can_look_up: role == Role::Tool,
            timeout_ms: 20_000,
            prompt_bytes_per_token: 3,
        };
        self.config.services.insert(model.clone(), service(Role::Engine));
        self.config.services.insert(tool.clone(), service(Role::Tool));
        for (index, address) in addresses.into_iter().enumerate() {
            let is_engine = index < engines;
            let (service, number) =
                if is_engine { (&model, index + 1) } else { (&tool, index - engines + 1) };
            let name = format!("{service}-{number}");
            let slots = if is_engine { spec.slots } else { 32 };
            let server = Server {
                service: service.clone(),
                address: address.clone(),
                failure_domain: spec.failure_domain(number),
                slots,
                checks_fencing: is_engine,
            };
            self.config.servers.insert(name.clone(), server);
            let kind = if is_engine { "engine" } else { "tool" };
            let ledger = self.folder.join("ledgers").join(format!("{name}.ledger"));
            let mut arguments: Vec<String> =
                [kind, "--listen", &address, "--ledger"].map(String::from).to_vec();
            arguments.push(ledger.to_string_lossy().into_owned());
            if is_engine {
                arguments.extend(["--slots".to_owned(), spec.slots.to_string()]);
                arguments.extend(spec.engine_arguments.clone());
            }
            self.start_standin(&name, arguments)?;
        }
        let deployment = Deployment {
            servers: self.config.servers.keys().cloned().collect(),
            failure_domains: spec.failure_domains.clone(),
            labels: BTreeMap::new(),
            cap: Amount { tokens: 10_000_000, calls: 10_000, cost: 1_000_000 },
            weights: spec.weights,
        };
        self.config.deployments.insert(spec.deployment, deployment);
        Ok(())
    }

    fn start_standin(&mut self, name: &str, arguments: Vec<String>) -> std::io::Result<()> {
        let child = self.spawn_standin(&arguments)?;
        self.standins.insert(name.to_owned(), (arguments, Some(child)));
        Ok(())
    }

    fn spawn_standin(&self, arguments: &[String]) -> std::io::Result<Child> {
        Command::new(self.binaries.join("standin"))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
    }

    /// Writes the settings of all instances, without starting them.
    fn add_instances(
        &mut self,
        peer_address: &dyn Fn(usize, usize, &str) -> String,
    ) -> std::io::Result<()> {
        let spec = self.spec.clone();
        let count = spec.instances;
        let addresses = std::mem::take(&mut self.free_addresses);
        let peers: Vec<Peer> = (0..count)
            .map(|index| Peer {
                name: format!("entry-{}", index + 1),
                address: addresses[index * PORTS_PER_INSTANCE].clone(),
                failure_domain: spec.failure_domain(index),
            })
            .collect();
        let replicas: Vec<String> = peers.iter().take(spec.disks).map(|p| p.name.clone()).collect();
        for (index, peer) in peers.iter().enumerate() {
            let has_disk = index < spec.disks;
            let listen = Listen {
                callers: addresses[index * PORTS_PER_INSTANCE + 1].clone(),
                operators: addresses[index * PORTS_PER_INSTANCE + 2].clone(),
                peers: peer.address.clone(),
            };
            let mut settings = Settings {
                name: peer.name.clone(),
                failure_domain: peer.failure_domain.clone(),
                storage: has_disk.then(|| Storage { folder: format!("data-{}", peer.name).into() }),
                peers: peers_of(index, &peers, peer_address),
                stop: Stop { keep_ms: spec.address_ttl_ms, ..Stop::default() },
                platform: Platform {
                    instance_list: Some(format!("{}/instances", self.platform_url)),
                    ..Platform::default()
                },
                seed: self.config.clone(),
                listen,
                ..Settings::default()
            };
            settings.journal.replicas = replicas.clone();
            settings.entry.policy = spec.policy;
            settings.limits.requests_per_second = 5_000.0;
            settings.limits.request_burst = 10_000.0;
            let text = toml::to_string(&settings).map_err(std::io::Error::other)?;
            let path = self.folder.join(format!("{}.toml", peer.name));
            std::fs::write(&path, text)?;
            self.instances.push(Instance {
                name: peer.name.clone(),
                caller_address: settings.listen.callers.clone(),
                operator_address: settings.listen.operators.clone(),
                settings_path: path,
                log_path: self.folder.join(format!("{}.log", peer.name)),
                child: None,
            });
        }
        Ok(())
    }

    /// Starts or restarts the instance at an index, which must not run.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be opened or the daemon cannot be started.
    pub fn start_instance(&mut self, index: usize) -> std::io::Result<()> {
        let instance = &mut self.instances[index];
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&instance.log_path)?;
        let child = Command::new(self.binaries.join("buckthornshelfd"))
            .arg("--settings")
            .arg(&instance.settings_path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        instance.child = Some(child);
        Ok(())
    }

    /// Kills the instance at an index and waits until it has exited.
    pub fn kill_instance(&mut self, index: usize) {
        if let Some(child) = &mut self.instances[index].child {
            kill(child);
        }
        self.instances[index].child = None;
    }

    /// Sends a signal such as `TERM` to the instance at an index.
    ///
    /// # Errors
    ///
    /// Returns an error if the `kill` command cannot be run.
    pub fn signal_instance(&self, index: usize, signal: &str) -> std::io::Result<()> {
        let Some(child) = &self.instances[index].child else {
            return Ok(());
        };
        let pid = child.id().to_string();
        Command::new("kill").args([&format!("-{signal}"), &pid]).status()?;
        Ok(())
    }

    /// Returns whether the instance at an index does not run.
    pub fn has_exited(&mut self, index: usize) -> bool {
        let child = self.instances[index].child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Returns the process id of the instance at an index, if it was started.
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.instances[index].child.as_ref().map(Child::id)
    }

    /// Deletes the data folder of the instance at an index, which must not run.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be deleted.
    pub fn delete_data(&self, index: usize) -> std::io::Result<()> {
        std::fs::remove_dir_all(self.folder.join(format!("data-{}", self.instances[index].name)))
    }

    /// Kills the backend server with the given name and waits until it has exited.
    pub fn kill_server(&mut self, name: &str) {
        if let Some((_, child)) = self.standins.get_mut(name)
            && let Some(child) = child
        {
            kill(child);
        }
    }

    /// Restarts each stand-in that has exited, with empty caches; returns their number.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in cannot be started.
    pub fn restart_servers(&mut self) -> std::io::Result<u32> {
        let mut exited = Vec::new();
        for (name, (_, child)) in &mut self.standins {
            let has_exited =
                child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))));
            if has_exited {
                exited.push(name.clone());
            }
        }
        for name in &exited {
            let arguments = self.standins[name].0.clone();
            self.start_standin(name, arguments)?;
        }
        Ok(u32::try_from(exited.len()).unwrap_or(u32::MAX))
    }

    /// Returns the status of all instances as reported by the first one that responds; empty
    /// if none responds.
    pub async fn status(&self, http: &reqwest::Client) -> Vec<Value> {
        for instance in &self.instances {
            let url = format!("http://{}/v1/status", instance.operator_address);
            let request = http.get(url).timeout(Duration::from_secs(6)).send().await;
            if let Ok(response) = request
                && let Ok(Value::Array(rows)) = response.json().await
            {
                return rows;
            }
        }
        Vec::new()
    }

    /// Waits until each running instance holds a lease and has the configuration; returns
    /// `false` after 20 seconds.
    pub async fn wait_ready(&self, http: &reqwest::Client) -> bool {
        let start = Instant::now();
        let running = self.instances.iter().filter(|instance| instance.child.is_some()).count();
        while start.elapsed() < READY_TIMEOUT {
            let rows = self.status(http).await;
            let is_ready = |row: &&Value| {
                row["lease_ms"].as_u64().unwrap_or(0) > 0
                    && row["version"].as_u64().unwrap_or(0) > 0
                    && row["in_force"] == row["version"]
            };
            if rows.iter().filter(is_ready).count() >= running {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        false
    }

    /// Returns the index of the instance that leads a replica group, if it is known.
    pub async fn leader(&self, http: &reqwest::Client, group: u64) -> Option<usize> {
        let rows = self.status(http).await;
        let leads = |row: &&Value| {
            let groups = row["leads"].as_array();
            groups.is_some_and(|groups| groups.iter().any(|g| g.as_u64() == Some(group)))
        };
        let name = rows.iter().find(leads)?["name"].as_str()?.to_owned();
        self.instances.iter().position(|instance| instance.name == name)
    }

    /// Returns the cached sessions of each engine that responds.
    pub async fn cached_sessions(&self, http: &reqwest::Client) -> Vec<crate::engine::Sessions> {
        let mut caches = Vec::new();
        for server in self.config.servers.values() {
            if self.config.services[&server.service].role != Role::Engine {
                continue;
            }
            let url = format!("http://{}/held", server.address);
            if let Ok(response) = http.get(url).send().await {
                caches.extend(response.json().await);
            }
        }
        caches
    }
}

/// Returns all instances with the addresses under which the instance at an index reaches them.
fn peers_of(
    index: usize,
    peers: &[Peer],
    peer_address: &dyn Fn(usize, usize, &str) -> String,
) -> Vec<Peer> {
    let peers = peers.iter().enumerate().map(|(to, peer)| {
        let address =
            if to == index { peer.address.clone() } else { peer_address(index, to, &peer.address) };
        Peer { address, ..peer.clone() }
    });
    peers.collect()
}

/// Returns the folder with the binaries of the daemon and the stand-ins.
///
/// If cargo started the current process, they are built first, with the same profile.
///
/// # Errors
///
/// Returns an error if cargo cannot be run or the build fails.
pub fn build_binaries() -> std::io::Result<PathBuf> {
    let exe = std::env::current_exe()?;
    let folder = exe.parent().map(Path::to_owned).unwrap_or_default();
    // Test binaries are in the subfolder `deps` of the folder with the other binaries.
    let folder = match folder.file_name() {
        Some(name) if name == "deps" => folder.parent().map(Path::to_owned).unwrap_or_default(),
        _ => folder,
    };
    let Some(cargo) = std::env::var_os("CARGO") else {
        return Ok(folder);
    };
    let mut command = Command::new(cargo);
    command.args([
        "build",
        "--quiet",
        "--workspace",
        "--bin",
        "buckthornshelfd",
        "--bin",
        "standin",
    ]);
    if folder.components().any(|part| part.as_os_str() == "release") {
        command.arg("--release");
    }
    match command.status()?.success() {
        true => Ok(folder),
        false => Err(std::io::Error::other("cargo build of buckthornshelfd and standin failed")),
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            instance.child.iter_mut().for_each(kill);
        }
        for (_, child) in self.standins.values_mut() {
            child.iter_mut().for_each(kill);
        }
    }
}

/// Kills a process of the cluster and waits until it has exited.
fn kill(child: &mut Child) {
    // Killing a process that has exited already fails, which is harmless.
    let _ = child.kill();
    let _ = child.wait();
}
