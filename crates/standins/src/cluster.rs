//! Everything as processes on loopback.

use protocol::settings::{Listen, Peer, Platform, Settings, Stop, Storage};
use serde_json::Value;
use state::budget::Amount;
use state::control::{Config, Deployment, Role, Server, Service, Weights};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Time for all instances to hold leases.
const READY_TIME: Duration = Duration::from_secs(20);

/// Addresses of one instance: for callers, operators and peers.
const PORTS_PER_INSTANCE: usize = 3;

/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// What to start.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Name of the deployment.
    pub deployment: String,
    /// Failure domains.
    pub failure_domains: Vec<String>,
    /// Entry instances.
    pub instances: usize,
    /// Instances with a disk, one in each failure domain as far as there are any.
    pub disks: usize,
    /// Model service and its runners.
    pub model: (String, usize),
    /// Tool service and its runners.
    pub tool: (String, usize),
    /// Further arguments of each engine.
    pub engine_arguments: Vec<String>,
    /// Slots of each engine.
    pub slots: u32,
    /// Lag of the instance list, in milliseconds.
    pub list_lag_ms: u64,
    /// Relative prices.
    pub weights: Weights,
    /// How long an answer to "which entry" may be kept, in milliseconds.
    pub keep_ms: u64,
    /// Policy for order and placement.
    pub policy: coordination::entry::policy::Name,
}

impl Plan {
    /// The Voskuilen deployment at today's size.
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
            keep_ms: 1_500,
            policy: coordination::entry::policy::Name::default(),
        }
    }

    /// The Magnolia deployment at today's size.
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

    fn domain(&self, at: usize) -> String {
        self.failure_domains[at % self.failure_domains.len()].clone()
    }
}

/// One instance of the cluster.
#[derive(Debug)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Address for callers.
    pub callers: String,
    /// Address for operators.
    pub operators: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A running cluster; its processes end with it.
#[derive(Debug)]
pub struct Cluster {
    /// What was started.
    pub plan: Plan,
    /// Instances.
    pub instances: Vec<Instance>,
    /// Objects that the cluster was started with.
    pub seed: Config,
    /// URL of the platform.
    pub platform: String,
    /// Folder of the run.
    pub folder: PathBuf,
    standins: BTreeMap<String, (Vec<String>, Option<Child>)>,
    free: Vec<String>,
    programs: PathBuf,
}

/// Addresses on loopback with ports of the kernel's choice.
fn addresses(count: usize) -> std::io::Result<Vec<String>> {
    // All are held at once, so that the kernel gives none twice.
    let held: std::io::Result<Vec<TcpListener>> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
    held?.iter().map(|listener| Ok(listener.local_addr()?.to_string())).collect()
}

impl Cluster {
    /// Starts all processes.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system or of a program that cannot be started.
    pub fn start(plan: Plan, folder: &Path) -> std::io::Result<Cluster> {
        Self::start_with(plan, folder, &|_, _, address| address.to_owned())
    }

    /// As [`Cluster::start`]; `via` gives the address under which the instance with the
    /// first index reaches the one with the second, whose own address is the third.
    ///
    /// # Errors
    ///
    /// As [`Cluster::start`].
    pub fn start_with(
        plan: Plan,
        folder: &Path,
        via: &dyn Fn(usize, usize, &str) -> String,
    ) -> std::io::Result<Cluster> {
        let programs = build()?;
        std::fs::create_dir_all(folder.join("ledgers"))?;
        // All ports are chosen at once: a process that has not bound its port yet does not
        // keep the kernel from giving it again.
        let count = 1 + plan.model.1 + plan.tool.1 + plan.instances * PORTS_PER_INSTANCE;
        let mut free = addresses(count)?;
        let platform_address = free.remove(0);
        let mut cluster = Cluster {
            seed: Config::default(),
            platform: format!("http://{platform_address}"),
            instances: Vec::new(),
            folder: folder.to_owned(),
            standins: BTreeMap::new(),
            free,
            programs,
            plan,
        };
        cluster.add_platform(&platform_address)?;
        cluster.add_servers()?;
        cluster.add_instances(via)?;
        for at in 0..cluster.instances.len() {
            cluster.start_instance(at)?;
        }
        Ok(cluster)
    }

    fn add_platform(&mut self, address: &str) -> std::io::Result<()> {
        let lag = self.plan.list_lag_ms.to_string();
        let arguments = ["platform", "--listen", address, "--lag-ms", &lag];
        self.start_standin("platform", arguments.map(String::from).to_vec())
    }

    fn add_servers(&mut self) -> std::io::Result<()> {
        let plan = self.plan.clone();
        let (model, engines) = plan.model.clone();
        let (tool, tools) = plan.tool.clone();
        let addresses: Vec<String> = self.free.drain(..engines + tools).collect();
        let service = |role| Service {
            role,
            version: if role == Role::Engine { "v1".into() } else { String::new() },
            is_urgent: false,
            can_look_up: role == Role::Tool,
            timeout_ms: 20_000,
            prompt_bytes_per_token: 3,
        };
        self.seed.services.insert(model.clone(), service(Role::Engine));
        self.seed.services.insert(tool.clone(), service(Role::Tool));
        for (at, address) in addresses.into_iter().enumerate() {
            let is_engine = at < engines;
            let (service, number) =
                if is_engine { (&model, at + 1) } else { (&tool, at - engines + 1) };
            let name = format!("{service}-{number}");
            let slots = if is_engine { plan.slots } else { 32 };
            let server = Server {
                service: service.clone(),
                address: address.clone(),
                failure_domain: plan.domain(number),
                slots,
                checks_fencing: is_engine,
            };
            self.seed.servers.insert(name.clone(), server);
            let kind = if is_engine { "engine" } else { "tool" };
            let ledger = self.folder.join("ledgers").join(format!("{name}.ledger"));
            let mut arguments: Vec<String> =
                [kind, "--listen", &address, "--ledger"].map(String::from).to_vec();
            arguments.push(ledger.to_string_lossy().into_owned());
            if is_engine {
                arguments.extend(["--slots".to_owned(), plan.slots.to_string()]);
                arguments.extend(plan.engine_arguments.clone());
            }
            self.start_standin(&name, arguments)?;
        }
        let deployment = Deployment {
            servers: self.seed.servers.keys().cloned().collect(),
            failure_domains: plan.failure_domains.clone(),
            labels: BTreeMap::new(),
            cap: Amount { tokens: 10_000_000, calls: 10_000, cost: 1_000_000 },
            weights: plan.weights,
        };
        self.seed.deployments.insert(plan.deployment, deployment);
        Ok(())
    }

    fn start_standin(&mut self, name: &str, arguments: Vec<String>) -> std::io::Result<()> {
        let child = self.spawn_standin(&arguments)?;
        self.standins.insert(name.to_owned(), (arguments, Some(child)));
        Ok(())
    }

    fn spawn_standin(&self, arguments: &[String]) -> std::io::Result<Child> {
        Command::new(self.programs.join("standin"))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
    }

    fn add_instances(&mut self, via: &dyn Fn(usize, usize, &str) -> String) -> std::io::Result<()> {
        let plan = self.plan.clone();
        let count = plan.instances;
        let addresses = std::mem::take(&mut self.free);
        let peers: Vec<Peer> = (0..count)
            .map(|at| Peer {
                name: format!("entry-{}", at + 1),
                address: addresses[at * PORTS_PER_INSTANCE].clone(),
                failure_domain: plan.domain(at),
            })
            .collect();
        let replicas: Vec<String> = peers.iter().take(plan.disks).map(|p| p.name.clone()).collect();
        for (at, peer) in peers.iter().enumerate() {
            let has_disk = at < plan.disks;
            let listen = Listen {
                callers: addresses[at * PORTS_PER_INSTANCE + 1].clone(),
                operators: addresses[at * PORTS_PER_INSTANCE + 2].clone(),
                peers: peer.address.clone(),
            };
            let mut settings = Settings {
                name: peer.name.clone(),
                failure_domain: peer.failure_domain.clone(),
                storage: has_disk.then(|| Storage { folder: format!("data-{}", peer.name).into() }),
                peers: seen_from(at, &peers, via),
                stop: Stop { keep_ms: plan.keep_ms, ..Stop::default() },
                platform: Platform {
                    instance_list: Some(format!("{}/instances", self.platform)),
                    ..Platform::default()
                },
                seed: self.seed.clone(),
                listen,
                ..Settings::default()
            };
            settings.journal.replicas = replicas.clone();
            settings.entry.policy = plan.policy;
            settings.limits.requests_per_second = 5_000.0;
            settings.limits.request_burst = 10_000.0;
            let text = toml::to_string(&settings).map_err(std::io::Error::other)?;
            let path = self.folder.join(format!("{}.toml", peer.name));
            std::fs::write(&path, text)?;
            self.instances.push(Instance {
                name: peer.name.clone(),
                callers: settings.listen.callers.clone(),
                operators: settings.listen.operators.clone(),
                settings: path,
                log: self.folder.join(format!("{}.log", peer.name)),
                child: None,
            });
        }
        Ok(())
    }

    /// Starts the instance at an index, again if it ended.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system or of the daemon's start.
    pub fn start_instance(&mut self, at: usize) -> std::io::Result<()> {
        let instance = &mut self.instances[at];
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&instance.log)?;
        let child = Command::new(self.programs.join("buckthornshelfd"))
            .arg("--settings")
            .arg(&instance.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        instance.child = Some(child);
        Ok(())
    }

    /// Kills the instance at an index and waits for its end.
    pub fn kill_instance(&mut self, at: usize) {
        if let Some(child) = &mut self.instances[at].child {
            end(child);
        }
        self.instances[at].child = None;
    }

    /// Sends a signal such as `TERM` to the instance at an index.
    ///
    /// # Errors
    ///
    /// Returns the error of the `kill` program.
    pub fn signal_instance(&self, at: usize, signal: &str) -> std::io::Result<()> {
        let Some(child) = &self.instances[at].child else {
            return Ok(());
        };
        let pid = child.id().to_string();
        Command::new("kill").args([&format!("-{signal}"), &pid]).status()?;
        Ok(())
    }

    /// Whether the instance at an index has ended by itself.
    pub fn has_ended(&mut self, at: usize) -> bool {
        let child = self.instances[at].child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Process id of the instance at an index.
    pub fn pid(&self, at: usize) -> Option<u32> {
        self.instances[at].child.as_ref().map(Child::id)
    }

    /// Deletes the data folder of the instance at an index, which must not run.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    pub fn wipe_instance(&self, at: usize) -> std::io::Result<()> {
        std::fs::remove_dir_all(self.folder.join(format!("data-{}", self.instances[at].name)))
    }

    /// Kills a backend server.
    pub fn kill_server(&mut self, name: &str) {
        if let Some((_, child)) = self.standins.get_mut(name)
            && let Some(child) = child
        {
            end(child);
        }
    }

    /// Starts each backend server again that has ended, empty.
    ///
    /// # Errors
    ///
    /// Returns the error of the program's start.
    pub fn revive_servers(&mut self) -> std::io::Result<u32> {
        let mut dead = Vec::new();
        for (name, (_, child)) in &mut self.standins {
            let has_ended =
                child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))));
            if has_ended {
                dead.push(name.clone());
            }
        }
        for name in &dead {
            let arguments = self.standins[name].0.clone();
            self.start_standin(name, arguments)?;
        }
        Ok(u32::try_from(dead.len()).unwrap_or(u32::MAX))
    }

    /// Status of all instances, from the first one that answers.
    pub async fn status(&self, http: &reqwest::Client) -> Vec<Value> {
        for instance in &self.instances {
            let url = format!("http://{}/v1/status", instance.operators);
            let request = http.get(url).timeout(Duration::from_secs(6)).send().await;
            if let Ok(response) = request
                && let Ok(Value::Array(rows)) = response.json().await
            {
                return rows;
            }
        }
        Vec::new()
    }

    /// Waits until each running instance holds a lease and has the configuration.
    pub async fn wait_ready(&self, http: &reqwest::Client) -> bool {
        let start = Instant::now();
        let running = self.instances.iter().filter(|instance| instance.child.is_some()).count();
        while start.elapsed() < READY_TIME {
            let rows = self.status(http).await;
            let is_ready = |row: &&Value| {
                row["lease_ms"].as_u64().unwrap_or(0) > 0
                    && row["version"].as_u64().unwrap_or(0) > 0
                    && row["in_force"] == row["version"]
            };
            if rows.iter().filter(is_ready).count() >= running {
                return true;
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        false
    }

    /// Index of the instance that leads a journal.
    pub async fn leader(&self, http: &reqwest::Client, group: u64) -> Option<usize> {
        let rows = self.status(http).await;
        let leads = |row: &&Value| {
            let groups = row["leads"].as_array();
            groups.is_some_and(|groups| groups.iter().any(|g| g.as_u64() == Some(group)))
        };
        let name = rows.iter().find(leads)?["name"].as_str()?.to_owned();
        self.instances.iter().position(|instance| instance.name == name)
    }

    /// What the engines hold.
    pub async fn held(&self, http: &reqwest::Client) -> Vec<crate::engine::Held> {
        let mut held = Vec::new();
        for server in self.seed.servers.values() {
            if self.seed.services[&server.service].role != Role::Engine {
                continue;
            }
            let url = format!("http://{}/held", server.address);
            if let Ok(response) = http.get(url).send().await {
                held.extend(response.json().await);
            }
        }
        held
    }
}

/// The instances' addresses as the instance at an index reaches them.
fn seen_from(at: usize, peers: &[Peer], via: &dyn Fn(usize, usize, &str) -> String) -> Vec<Peer> {
    let seen = peers.iter().enumerate().map(|(to, peer)| {
        let address = if to == at { peer.address.clone() } else { via(at, to, &peer.address) };
        Peer { address, ..peer.clone() }
    });
    seen.collect()
}

/// Builds daemon and stand-ins like the running program, if cargo started it.
///
/// Returns the folder in which they lie.
///
/// # Errors
///
/// Returns the error of cargo.
pub fn build() -> std::io::Result<PathBuf> {
    let exe = std::env::current_exe()?;
    let folder = exe.parent().map(Path::to_owned).unwrap_or_default();
    // A test lies one folder deeper than the programs.
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
        false => Err(std::io::Error::other("cargo build failed")),
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            instance.child.iter_mut().for_each(end);
        }
        for (_, child) in self.standins.values_mut() {
            child.iter_mut().for_each(end);
        }
    }
}

/// Kills a process of this run and waits for its end.
fn end(child: &mut Child) {
    // A process that has ended already needs no kill.
    let _ = child.kill();
    let _ = child.wait();
}
