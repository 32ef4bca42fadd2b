//! Parsing and validation of a settings file. Errors of syntax, type and meaning are collected
//! rather than reported one at a time.

use crate::settings::fault::{Fault, Faults};
use crate::settings::model::Settings;
use std::net::SocketAddr;

/// Maximum number of parse errors that are collected from one file.
const FAULTS_LIMIT: usize = 50;

impl Settings {
    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file.
    pub fn parse(text: &str) -> Result<Settings, Faults> {
        let (settings, mut faults) = parse_all(text);
        if let Some(settings) = settings {
            let invalid = settings.check();
            faults.extend(invalid.into_iter().map(|fault| locate(text, fault)));
            if faults.is_empty() {
                return Ok(settings);
            }
        }
        Err(Faults(faults))
    }

    /// Returns the faults that parsing does not find: values out of range and keys that
    /// contradict each other.
    pub fn check(&self) -> Vec<Fault> {
        let mut check = Check::default();
        self.check_addresses(&mut check);
        self.check_peers(&mut check);
        self.check_replicas(&mut check);
        self.check_access(&mut check);
        self.check_timing(&mut check);
        for detail in self.seed.validation_errors() {
            check.fault("seed", detail);
        }
        check.faults
    }

    fn check_addresses(&self, check: &mut Check) {
        let listen = &self.listen;
        let addresses = [
            ("listen.callers", &listen.callers),
            ("listen.operators", &listen.operators),
            ("listen.peers", &listen.peers),
        ];
        for (key, address) in addresses {
            if address.parse::<SocketAddr>().is_err() {
                check.fault(key, format!("found {address:?}; accepted: IP:PORT"));
            }
        }
        for name in [("name", &self.name), ("failure_domain", &self.failure_domain)] {
            if name.1.is_empty() {
                check.fault(name.0, "found \"\"; accepted: a name".into());
            }
        }
    }

    fn check_peers(&self, check: &mut Check) {
        for (index, peer) in self.peers.iter().enumerate() {
            if peer.address.parse::<SocketAddr>().is_err() {
                let found = &peer.address;
                check.fault("peers.address", format!("found {found:?}; accepted: IP:PORT"));
            }
            if self.peers[..index].iter().any(|earlier| earlier.name == peer.name) {
                check.fault(
                    "peers.name",
                    format!("found {:?} twice; accepted: unique names", peer.name),
                );
            }
        }
        let local = self.peers.iter().find(|peer| peer.name == self.name);
        if !self.peers.is_empty() && local.is_none() {
            let names: Vec<&str> = self.peers.iter().map(|peer| peer.name.as_str()).collect();
            check.fault("name", format!("found {:?}; accepted: one of {names:?}", self.name));
        }
        if local.is_some_and(|local| local.failure_domain != self.failure_domain) {
            check.fault("failure_domain", "differs from this instance's entry in peers".into());
        }
    }

    fn check_replicas(&self, check: &mut Check) {
        let journal = &self.journal;
        if journal.shards == 0 || journal.shards > 64 {
            let detail = format!("found {}; accepted: 1 to 64", journal.shards);
            check.fault("journal.shards", detail);
        }
        if journal.compact_bytes < 4_096 {
            let detail = format!("found {}; accepted: 4096 or more", journal.compact_bytes);
            check.fault("journal.compact_bytes", detail);
        }
        for name in &journal.replicas {
            if !self.peers.iter().any(|peer| peer.name == *name) {
                check.fault("journal.replicas", format!("found {name:?}, which is not in peers"));
            }
        }
        let is_replica = self.replicas().contains(&self.name);
        if is_replica && self.storage.is_none() {
            let detail = format!("absent, but {:?} is one of journal.replicas", self.name);
            check.fault("storage.folder", detail);
        }
        if journal.replicas.len() >= 3 {
            self.check_majorities(check);
        }
    }

    /// Checks that no failure domain holds a majority of the replicas, so that a majority
    /// survives the loss of any single domain.
    fn check_majorities(&self, check: &mut Check) {
        let replicas = &self.journal.replicas;
        let domain_of = |name: &String| {
            self.peers.iter().find(|p| p.name == *name).map(|peer| peer.failure_domain.as_str())
        };
        let domains: Vec<&str> = replicas.iter().filter_map(domain_of).collect();
        let majority = domains.iter().find(|domain| {
            domains.iter().filter(|other| other == domain).count() * 2 > domains.len()
        });
        if let Some(domain) = majority {
            let detail =
                format!("a majority is in failure domain {domain:?}; accepted: at most half");
            check.fault("journal.replicas", detail);
        }
    }

    fn check_access(&self, check: &mut Check) {
        let access = &self.access;
        let keys = [
            ("access.peer_key_file", &self.listen.peers, access.peer_key_file.is_some()),
            (
                "access.operator_token_file",
                &self.listen.operators,
                access.operator_token_file.is_some(),
            ),
            ("access.caller_token_file", &self.listen.callers, access.caller_token_file.is_some()),
        ];
        for (key, address, is_set) in keys {
            let parsed = address.parse::<SocketAddr>();
            let is_exposed = parsed.is_ok_and(|address| !address.ip().is_loopback());
            if !is_set && is_exposed {
                check.fault(key, format!("absent; required because {address} is not loopback"));
            }
        }
    }

    fn check_timing(&self, check: &mut Check) {
        let lease = &self.lease;
        if lease.renew_ms == 0 || lease.renew_ms * 3 > lease.length_ms {
            let detail = format!(
                "found {}; accepted: 1 to a third of lease.length_ms ({})",
                lease.renew_ms, lease.length_ms
            );
            check.fault("lease.renew_ms", detail);
        }
        if self.journal.election_ms < 50 || self.journal.election_ms * 4 > lease.length_ms {
            let detail = format!(
                "found {}; accepted: 50 to a quarter of lease.length_ms ({})",
                self.journal.election_ms, lease.length_ms
            );
            check.fault("journal.election_ms", detail);
        }
        if self.limits.body_bytes == 0 {
            check.fault("limits.body_bytes", "found 0; accepted: 1 or more".into());
        }
        if self.platform.report_ms == 0 {
            check.fault("platform.report_ms", "found 0; accepted: 1 or more".into());
        }
    }

    /// Returns the names of the instances that hold replicas.
    pub fn replicas(&self) -> Vec<String> {
        match self.journal.replicas.is_empty() {
            true => vec![self.name.clone()],
            false => self.journal.replicas.clone(),
        }
    }
}

/// Collects the faults that validation finds.
#[derive(Default)]
struct Check {
    faults: Vec<Fault>,
}

impl Check {
    fn fault(&mut self, key: &str, detail: String) {
        self.faults.push(Fault { line: 0, key: key.to_owned(), detail });
    }
}

/// Parses the text. After an error in a value the faulty lines are blanked and the text is
/// parsed again, so that further errors are found too; other errors end the search.
fn parse_all(text: &str) -> (Option<Settings>, Vec<Fault>) {
    let mut remaining = text.to_owned();
    let mut faults = Vec::new();
    while faults.len() < FAULTS_LIMIT {
        let error = match toml::from_str(&remaining) {
            Ok(settings) => return (Some(settings), faults),
            Err(error) => error,
        };
        let span = error.span().unwrap_or(0..0);
        let line = remaining[..span.start].matches('\n').count() + 1;
        let content = remaining.lines().nth(line - 1).unwrap_or_default().to_owned();
        let key = content.split('=').next().unwrap_or_default().trim().to_owned();
        faults.push(Fault { line, key, detail: error.message().to_owned() });
        let has_value = content.contains('=');
        if !has_value || !blank_lines(&mut remaining, span) {
            break;
        }
    }
    (None, faults)
}

/// Replaces the lines of `span` by spaces; returns `false` if they were blank already.
fn blank_lines(text: &mut String, span: std::ops::Range<usize>) -> bool {
    let start = text[..span.start].rfind('\n').map_or(0, |newline| newline + 1);
    let end = text[span.end..].find('\n').map_or(text.len(), |newline| span.end + newline);
    let blank: String =
        text[start..end].chars().map(|c| if c == '\n' { '\n' } else { ' ' }).collect();
    let is_changed = blank != text[start..end];
    text.replace_range(start..end, &blank);
    is_changed
}

/// Sets the line of a fault to the line that holds its key; unchanged if there is none.
fn locate(text: &str, fault: Fault) -> Fault {
    let (table, key) = fault.key.rsplit_once('.').unwrap_or(("", &fault.key));
    let mut current_table = String::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            current_table = line.trim_matches(['[', ']']).to_owned();
        }
        let name = line.split('=').next().unwrap_or_default().trim();
        if current_table == table && name == key && line.contains('=') {
            return Fault { line: index + 1, ..fault };
        }
    }
    fault
}
