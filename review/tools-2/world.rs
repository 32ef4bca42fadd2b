//! The platform: machines with their settings, the list of runners, and the kill of a process that
//! uses more memory than its machine has. The processes are those of the deploy file.

use crate::http::{Answer, call, read_head};
use crate::runner::Runner;
use std::fs::File;
use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Ids of all processes that were started and may run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Set once the case is over: nothing is started after that.
static IS_OVER: AtomicBool = AtomicBool::new(false);

/// Folder with the settings, disks and logs of the processes.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends all processes that were started, and removes their folder.
pub fn end() {
    IS_OVER.store(true, Ordering::SeqCst);
    // `launch` holds the lock while it starts a process.
    let ids = STARTED.lock().map(|ids| ids.clone()).unwrap_or_default();
    for id in ids {
        signal(id, "KILL");
    }
    note_started(&[]);
    std::thread::sleep(Duration::from_millis(100));
    if let Some(folder) = FOLDER.lock().ok().and_then(|mut folder| folder.take())
        && std::env::var_os("KEEP").is_none()
    {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// Writes the ids of the processes that may run, for the script that started the case.
fn note_started(ids: &[u32]) {
    let lines: String = ids.iter().map(|id| format!("{id}\n")).collect();
    let _ = std::fs::write(std::env::temp_dir().join("started"), lines);
}

/// Takes out a process that has ended.
fn forget(id: u32) {
    let mut started = STARTED.lock().unwrap();
    started.retain(|started| *started != id);
    note_started(&started);
}

/// Sends a signal to a process that was started here.
pub fn signal(id: u32, name: &str) {
    // The shell's own `kill`, which every machine has.
    let command = format!("kill -{name} {id}");
    let _ = Command::new("sh").args(["-c", &command]).stderr(Stdio::null()).status();
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Core,
    Store,
    Front,
}

/// Memory of the machines of each class in megabytes, and their descriptors, as on the sheet of
/// voskuilen-offerte.
const fn machine(role: Role) -> (u64, u64) {
    match role {
        Role::Core => (256, 4_096),
        Role::Store => (140, 8_200),
        Role::Front => (110, 4_100),
    }
}

pub struct Node {
    pub name: String,
    pub role: Role,
    pub host: u8,
    first_start: bool,
    child: Option<Child>,
    /// Highest anonymous memory in bytes, over all its processes.
    pub peak: u64,
    /// Whether it was removed for good.
    pub is_gone: bool,
}

pub struct World {
    pub net: String,
    pub port: u16,
    pub folder: PathBuf,
    pub nodes: Mutex<Vec<Node>>,
    pub runners: Vec<Arc<Runner>>,
    list: String,
    record: Mutex<File>,
    started: Instant,
    /// Names of processes that used more than their machine's memory and were killed.
    pub over: Mutex<Vec<String>>,
    /// Names of processes that ended by themselves.
    pub ended: Mutex<Vec<String>>,
}

pub type Shared = Arc<World>;

/// A number that differs from run to run.
pub fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

impl World {
    /// Starts runners, the list and `stores` + 5 processes: three of the core, the stores, two fronts.
    pub fn start(folder: &str, stores: u8) -> Result<Shared, String> {
        let record = PathBuf::from(folder).join("record.txt");
        let record = File::create(record).map_err(|e| e.to_string())?;
        let net = format!("127.{}.{}", 10 + random() % 240, 1 + random() % 250);
        let port = 20_000 + (random() % 900) as u16 * 10;
        let temporary =
            std::env::temp_dir().join(format!("review-2-{}-{:x}", std::process::id(), random()));
        std::fs::create_dir_all(&temporary).map_err(|e| e.to_string())?;
        *FOLDER.lock().unwrap() = Some(temporary.clone());
        let mut runners = Vec::new();
        for number in 1..=4_u8 {
            let ip = format!("{net}.{}", 100 + number);
            let runner = Runner::start(&format!("i-m{number}"), "taalmodel", &ip, 12);
            runners.push(runner.map_err(|e| e.to_string())?);
        }
        for number in 1..=2_u8 {
            let ip = format!("{net}.{}", 110 + number);
            let runner = Runner::start(&format!("i-a{number}"), "offerte-app", &ip, 6);
            runners.push(runner.map_err(|e| e.to_string())?);
        }
        let listener =
            TcpListener::bind((format!("{net}.201").as_str(), 0)).map_err(|e| e.to_string())?;
        let list = listener.local_addr().map_err(|e| e.to_string())?.to_string();
        let world = Arc::new(Self {
            net,
            port,
            folder: temporary,
            nodes: Mutex::default(),
            runners,
            list,
            record: Mutex::new(record),
            started: Instant::now(),
            over: Mutex::default(),
            ended: Mutex::default(),
        });
        let listing = world.clone();
        std::thread::spawn(move || listing.serve_list(&listener));
        for host in 1..=3 {
            world.add(Role::Core, host, true)?;
        }
        for host in 4..4 + stores {
            world.add(Role::Store, host, true)?;
        }
        for host in 60..62 {
            world.add(Role::Front, host, true)?;
        }
        let watching = world.clone();
        std::thread::spawn(move || watching.watch());
        Ok(world)
    }

    /// Writes a line of the record.
    pub fn note(&self, text: &str) {
        let ms = self.started.elapsed().as_millis();
        if let Ok(mut record) = self.record.lock() {
            let _ = writeln!(record, "{:>8.3} s  {text}", ms as f64 / 1_000.0);
        }
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    fn serve_list(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let entries: Vec<String> = self
                .runners
                .iter()
                .map(|r| {
                    format!(
                        "{{\"Id\":\"{}\",\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"nl-west-a\",\"Version\":\"v1\",\
                         \"Slots\":{},\"State\":\"ready\",\"ColdLeftMs\":0}}",
                        r.id, r.service, r.address, r.slots
                    )
                })
                .collect();
            let body = format!("{{\"Instances\":[{}],\"Next\":null}}", entries.join(","));
            std::thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(_)) = read_head(&mut reader) {
                    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
                    if write!(writer, "{head}Content-Length: {}\r\n\r\n{body}", body.len()).is_err()
                    {
                        return;
                    }
                }
            });
        }
    }

    /// Adds a machine and starts its process.
    pub fn add(&self, role: Role, host: u8, first_start: bool) -> Result<(), String> {
        let name = match role {
            Role::Core => format!("core-{host}"),
            Role::Store => format!("store-{host}"),
            Role::Front => format!("front-{host}"),
        };
        let node = Node { name, role, host, first_start, child: None, peak: 0, is_gone: false };
        let mut nodes = self.nodes.lock().unwrap();
        nodes.push(node);
        let node = nodes.last_mut().unwrap();
        self.launch(node)
    }

    fn settings(&self, node: &Node) -> String {
        let (net, port, host) = (&self.net, self.port, node.host);
        let (class, serves, listen) = match node.role {
            Role::Core => (
                "core",
                "\"control\",\"directory\"",
                format!(
                    "Control = \"{net}.{host}:{}\"\nDirectory = \"{net}.{host}:{}\"\n",
                    port + 10,
                    port + 11
                ),
            ),
            Role::Store => ("store", "\"store\"", String::new()),
            Role::Front => (
                "front",
                "\"front\"",
                format!(
                    "Front = \"{net}.{host}:{}\"\nReady = \"{net}.{host}:{}\"\n",
                    port + 12,
                    port + 13
                ),
            ),
        };
        let zone = ["nl-west-a", "nl-west-b", "nl-west-c"][usize::from(host) % 3];
        let (memory, files) = machine(node.role);
        let data = match node.role {
            Role::Front => String::new(),
            _ => format!("DataDir = \"{}\"\n", self.data(node).display()),
        };
        let counts = node.role != Role::Front;
        let control = port + 10;
        format!(
            "NodeName = \"{}\"\nRole = \"{class}\"\nMachineClass = \"{class}\"\nServes = [{serves}]\nIp = \"{net}.{host}\"\n\
             Zone = \"{zone}\"\nRegion = \"nl-west\"\nPortRange = [{port},{}]\n\
             Seeds = [\"{net}.1:{control}\",\"{net}.2:{control}\",\"{net}.3:{control}\"]\n\
             FirstStart = {}\nCountsAsLoss = {counts}\n{data}Discovery = \"cloud\"\nEntry = \"directory\"\nHeartbeatMs = 1200\n\
             Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\"]\nConfigMode = \"highest\"\n\
             [Zones]\nnl-west-a = \"nl-west\"\nnl-west-b = \"nl-west\"\nnl-west-c = \"nl-west\"\n[Listen]\n{listen}\
             [Limits]\nCpuShare = 0.5\nCores = 1\nMemoryMb = {memory}\nMaxFds = {files}\nLinkMbps = 1000.0\nDiskMb = 520\n\
             [Tolerate]\nMachines = 1\nZones = 0\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nStableWindowMs = 3000\nAckMs = 4000\nCatchUpS = 4.9\nDrainMs = 3000\n\
             GraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nRollbackSlackMs = 250\nMaxSkewMs = 5000\nRecoveryS = 12\n\
             PassMs = 120\nRetryAfterS = 0\nDeadlineS = 10\nSettleMs = 1000\nttl_max_s = 5\n\
             [CloudApi]\nAddress = \"{}\"\nRatePerS = 44.0\nDuties = []\nMaxLagMs = 800\n",
            node.name,
            port + 9,
            node.first_start,
            self.list,
        )
    }

    fn data(&self, node: &Node) -> PathBuf {
        self.folder.join(&node.name).join("data")
    }

    fn launch(&self, node: &mut Node) -> Result<(), String> {
        let home = self.folder.join(&node.name);
        std::fs::create_dir_all(home.join("data")).map_err(|e| e.to_string())?;
        let settings = home.join("settings.toml");
        std::fs::write(&settings, self.settings(node)).map_err(|e| e.to_string())?;
        let log = File::options().create(true).append(true).open(home.join("log"));
        let log = log.map_err(|e| e.to_string())?;
        // `run` of every role in deploy/system.toml, in the root of the repository.
        let mut started = STARTED.lock().unwrap();
        if IS_OVER.load(Ordering::SeqCst) {
            return Err("the case is over".to_owned());
        }
        let child = Command::new("target/release/buckthornshelf")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("LANG", "C.UTF-8")
            .env("BUCKTHORNSHELF_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("target/release/buckthornshelf: {e}"))?;
        started.push(child.id());
        note_started(&started);
        node.child = Some(child);
        node.first_start = false;
        Ok(())
    }

    /// Kills a process that uses more memory than its machine has, and starts ended ones again.
    fn watch(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(10));
            if IS_OVER.load(Ordering::SeqCst) {
                return;
            }
            let Ok(mut nodes) = self.nodes.lock() else { return };
            for node in nodes.iter_mut().filter(|node| !node.is_gone) {
                let Some(child) = &mut node.child else { continue };
                let memory = anonymous(child.id());
                node.peak = node.peak.max(memory);
                let limit = machine(node.role).0 * 1_000_000;
                if memory > limit {
                    self.note(&format!(
                        "PLATFORM kills {}: {} MB used of {} MB",
                        node.name,
                        memory / 1_000_000,
                        limit / 1_000_000
                    ));
                    self.over.lock().unwrap().push(node.name.clone());
                    let _ = child.kill();
                    let _ = child.wait();
                } else if let Ok(Some(status)) = child.try_wait() {
                    self.note(&format!("PROCESS {} ended by itself: {status}", node.name));
                    self.ended.lock().unwrap().push(node.name.clone());
                } else {
                    continue;
                }
                forget(child.id());
                node.child = None;
                if let Err(error) = self.launch(node) {
                    self.note(&format!("cannot start {}: {error}", node.name));
                }
            }
        }
    }

    /// Kills a process, as a loss of power does.
    pub fn kill(&self, name: &str) {
        let mut nodes = self.nodes.lock().unwrap();
        let Some(node) = nodes.iter_mut().find(|node| node.name == name) else { return };
        if let Some(mut child) = node.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
        }
    }

    /// Deletes the disk of a machine whose process doesn't run.
    pub fn wipe(&self, name: &str) {
        let nodes = self.nodes.lock().unwrap();
        if let Some(node) = nodes.iter().find(|node| node.name == name) {
            let _ = std::fs::remove_dir_all(self.data(node));
        }
    }

    /// Starts the process of a machine again.
    pub fn restart(&self, name: &str) {
        let mut nodes = self.nodes.lock().unwrap();
        if let Some(node) = nodes.iter_mut().find(|node| node.name == name)
            && let Err(error) = self.launch(node)
        {
            self.note(&format!("cannot start {name}: {error}"));
        }
    }

    /// Removes a machine for good, with its disk.
    pub fn remove(&self, name: &str) {
        self.kill(name);
        self.wipe(name);
        let mut nodes = self.nodes.lock().unwrap();
        if let Some(node) = nodes.iter_mut().find(|node| node.name == name) {
            node.is_gone = true;
        }
    }

    /// Highest memory of each process, for the record.
    pub fn note_peaks(&self) {
        for node in self.nodes.lock().unwrap().iter() {
            let limit = machine(node.role).0;
            self.note(&format!(
                "peak of {}: {:.1} MB of {limit} MB",
                node.name,
                node.peak as f64 / 1e6
            ));
        }
    }

    pub fn core(&self, number: u8) -> String {
        format!("{}.{number}:{}", self.net, self.port + 10)
    }

    pub fn fronts(&self) -> Vec<String> {
        (60..62).map(|host| format!("{}.{host}:{}", self.net, self.port + 12)).collect()
    }

    /// Sends a call of the operator to the core machines in turn, until one gives a clear answer.
    pub fn operate(
        &self,
        method: &str,
        path: &str,
        body: &str,
        patience: Duration,
    ) -> Option<Answer> {
        let started = Instant::now();
        let mut number = 0;
        while started.elapsed() < patience {
            number = number % 3 + 1;
            let host = vec![
                ("Host", "control".to_owned()),
                ("Content-Type", "application/json".to_owned()),
            ];
            let answer = call(
                &self.core(number),
                method,
                path,
                &host,
                body.as_bytes(),
                Duration::from_secs(1),
            );
            if answer.is_whole && answer.status < 500 {
                return Some(answer);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Puts the first desired state in force and waits until the directory names both fronts.
    pub fn configure(&self, max_body: usize) -> Result<(), String> {
        let route = |name: &str, prefix: &str, kind: &str, rest: &str| {
            format!(
                "{{\"Name\":\"{name}\",\"Host\":\"a.example\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\"MaxAttempts\":1,{rest}}}"
            )
        };
        let turn = "\"TimeoutMs\":4000,\"TargetLatencyMs\":250,\"Priority\":0,\"Service\":\"taalmodel\",\"Sticky\":true,\
                    \"Resumable\":false,\"TargetGapMs\":400,";
        let routes = [
            route(
                "r-turn",
                "/turn/kept/",
                "streaming",
                &format!("{turn}\"Retain\":true,\"RetentionS\":60.0"),
            ),
            route(
                "r-plain",
                "/turn/plain/",
                "streaming",
                &format!("{turn}\"Retain\":false,\"RetentionS\":60.0"),
            ),
            route(
                "r-order",
                "/order/",
                "unsafe",
                "\"TimeoutMs\":3000,\"TargetLatencyMs\":500,\"Priority\":1,\"Service\":\"offerte-app\"",
            ),
        ];
        let state = format!(
            "{{\"Version\":3,\"Routes\":[{}],\"Services\":[{{\"Name\":\"taalmodel\",\"HealthPath\":\"/health\",\"MaxConns\":160,\
             \"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":12,\"KvCapacityTokens\":378489,\"KvTokenBytes\":18432,\
             \"LinkMbps\":1100000.0,\"Moves\":true,\"Backups\":true,\"TokensPerEvent\":25,\"most\":12,\"PinMs\":4000.0,\
             \"HoldMs\":2000.0,\"handle_s\":5.0,\"Models\":[{{\"Name\":\"m\"}}]}}}},\
             {{\"Name\":\"offerte-app\",\"HealthPath\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}}],\
             \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":{max_body},\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
            routes.join(",")
        );
        let acknowledged = self.operate("POST", "/api/config/put", &state, Duration::from_secs(20));
        if acknowledged.is_none_or(|answer| answer.status != 200) {
            return Err("no desired state was acknowledged".to_owned());
        }
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(20) {
            let directory = format!("{}.1:{}", self.net, self.port + 11);
            let host = [("Host", "directory".to_owned())];
            let path = "/api/resolve?Name=a.example&Region=nl-west&Zone=nl-west-a";
            let answer = call(&directory, "GET", path, &host, b"", Duration::from_secs(1));
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            if answer.status == 200
                && self.fronts().iter().all(|front| text.contains(front.as_str()))
            {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err("the directory doesn't name the fronts".to_owned())
    }

    /// Sends a turn of a program.
    pub fn turn(&self, front: &str, turn: &Turn<'_>) -> Answer {
        let mut headers = vec![
            ("Host", "a.example".to_owned()),
            ("X-Request-Id", turn.id.to_owned()),
            ("X-Program-Id", turn.program.to_owned()),
            ("X-Session-Id", format!("s-{}", turn.program)),
            ("X-Model", "m".to_owned()),
            ("X-Token-Budget", "100000".to_owned()),
            (
                "X-Token-Usage",
                format!("1460,{}", if turn.id.starts_with("long") { 600 } else { 100 }),
            ),
            ("X-Deadline-Ms", "4000".to_owned()),
            ("X-Finish-Ms", turn.finish_ms.to_string()),
        ];
        if let Some(previous) = turn.previous {
            headers.push(("X-Previous-Turn", previous.to_owned()));
        }
        let path =
            format!("/turn/{}/{}", if turn.is_kept { "kept" } else { "plain" }, turn.program);
        call(front, "POST", &path, &headers, turn.body, Duration::from_secs(6))
    }

    /// Sends a call of a tool.
    pub fn order(&self, front: &str, id: &str) -> Answer {
        let headers = [
            ("Host", "a.example".to_owned()),
            ("X-Request-Id", id.to_owned()),
            ("X-Deadline-Ms", "3000".to_owned()),
        ];
        call(front, "POST", "/order/board", &headers, b"one board", Duration::from_secs(5))
    }

    /// Number of times that runners ran a request, and the length of the body that they got.
    pub fn runs(&self, id: &str) -> (usize, usize) {
        let found =
            self.runners.iter().filter_map(|runner| runner.runs.lock().unwrap().get(id).copied());
        found.fold((0, 0), |sum, (bytes, count)| (sum.0 + count, sum.1.max(bytes)))
    }

    /// Number of requests that the runners of turns process now, and their slots.
    pub fn load(&self) -> (usize, usize) {
        let models = self.runners.iter().filter(|runner| runner.service == "taalmodel");
        models.fold((0, 0), |sum, runner| (sum.0 + runner.load(), sum.1 + runner.slots))
    }
}

/// A turn that a consumer sends.
pub struct Turn<'a> {
    pub id: &'a str,
    pub program: &'a str,
    pub previous: Option<&'a str>,
    pub body: &'a [u8],
    /// Whether the route keeps the turn.
    pub is_kept: bool,
    /// Time until the program should be finished.
    pub finish_ms: u128,
}

/// Anonymous memory of a process, in bytes.
fn anonymous(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap_or("0 kB");
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap_or(0) * 1_024
}
