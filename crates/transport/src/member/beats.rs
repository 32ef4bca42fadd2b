//! Signs of life towards the control instances.

use crate::member::node::Member;
use crate::member::seat::{CONTROL, PROGRAMS};
use coordination::routing;
use protocol::presence::{Heartbeat, HeartbeatReply, ReplicaStatus, Role};
use protocol::wire::{Request, Response};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Beats without an answer of the relaying control instance after which another is asked.
const RELAY_PATIENCE: u32 = 3;

/// Time for a control instance to answer; some beats long.
const BEAT_TIMEOUT: Duration = Duration::from_millis(900);

/// Beats of an instance that knows nothing yet, in the time of one beat later.
const FIRST_BEATS: u32 = 3;

/// Sends beats for as long as the process runs.
pub(crate) async fn run(member: Arc<Member>) {
    let mut source = Source::default();
    loop {
        let beat = beat(&member);
        let addresses = member.control_addresses();
        let relay = source.choose(&member, &addresses);
        for address in addresses {
            let (member, mut beat) = (member.clone(), beat.clone());
            // Control instances are few, and entries depend on what each of them has.
            beat.wants_relay = beat.role == Role::Control || Some(&address) == relay.as_ref();
            tokio::spawn(async move {
                let request = Request::Heartbeat(Box::new(beat));
                let answer = member.fabric.call(&address, &request, BEAT_TIMEOUT).await;
                if let Ok(Response::HeartbeatReply(report)) = answer {
                    take(&member, &address, *report);
                }
            });
        }
        let is_new = member.known.borrow().registry.revision == 0;
        let pause = if is_new { member.settings.beat / FIRST_BEATS } else { member.settings.beat };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = member.hurry.notified() => {}
        }
    }
}

/// The control instance that is asked for what is relayed.
#[derive(Default)]
struct Source {
    address: Option<String>,
    chosen: Option<Instant>,
}

impl Source {
    /// Keeps to one instance for as long as it answers with a fresh list.
    fn choose(&mut self, member: &Member, addresses: &[String]) -> Option<String> {
        let patience = member.settings.beat * RELAY_PATIENCE;
        let (relayed, is_stale) = {
            let known = member.servers.borrow();
            (known.relayed, known.is_stale())
        };
        // A new source gets the same time to answer.
        let heard = if is_stale { self.chosen } else { relayed.max(self.chosen) };
        let is_silent = heard.is_none_or(|at| at.elapsed() > patience);
        let is_listed = self.address.as_ref().is_some_and(|held| addresses.contains(held));
        if is_silent || !is_listed {
            // Instances spread over the sources by their names, and go round from there.
            let held = self.address.as_ref();
            let at = held.and_then(|held| addresses.iter().position(|address| address == held));
            let start = routing::digest(member.settings.name.as_bytes()) as usize;
            let next = at.map_or(start, |at| at + 1) % addresses.len().max(1);
            self.address = addresses.get(next).cloned();
            self.chosen = Some(Instant::now());
        }
        self.address.clone()
    }
}

fn beat(member: &Member) -> Heartbeat {
    let settings = &member.settings;
    let is_leaving = member.is_leaving.load(Ordering::Relaxed);
    Heartbeat {
        name: settings.name.clone(),
        address: settings.address.clone(),
        failure_domain: settings.failure_domain.clone(),
        role: settings.role,
        callers: settings.callers.clone(),
        is_ready: member.is_ready.load(Ordering::Relaxed) && !is_leaving,
        replica: held(member),
        revision: member.known.borrow().registry.revision,
        wants_relay: false,
        list_digest: member.servers.borrow().list.as_ref().map_or(0, |held| held.digest),
        roster_digest: member.known.borrow().roster.digest,
        in_flight: member.loads.get().map(|loads| loads()).unwrap_or_default(),
    }
}

fn held(member: &Member) -> Option<ReplicaStatus> {
    let id = *member.id.get()?;
    let Some(handle) = member.handle() else {
        let (term, revision) = (0, 0);
        return Some(ReplicaStatus { id, is_leader: false, term, members: Vec::new(), revision });
    };
    let status = handle.status.borrow();
    let members = status.members.iter().map(|(_, address, _)| address.clone());
    Some(ReplicaStatus {
        id,
        is_leader: status.is_established,
        term: status.term,
        members: if status.is_settled { members.collect() } else { Vec::new() },
        revision: member.present_revision.load(Ordering::Relaxed),
    })
}

/// Takes what a control instance says.
fn take(member: &Member, from: &str, report: HeartbeatReply) {
    let own = member.known.borrow().registry.revision;
    if let Some(registry) = report.registry.filter(|registry| registry.revision > own) {
        tracing::info!(
            from,
            revision = registry.revision,
            version = registry.version(),
            "registry learned"
        );
        member.learn(registry);
    }
    if let Some(relayed) = report.list {
        member.servers.send_modify(|known| {
            known.relayed = Some(Instant::now());
            let digest = relayed.digest;
            known.take(relayed);
            known.share(digest, &report.in_flight);
        });
    }
    member.known.send_modify(|known| {
        known.heard = Some(Instant::now());
        if let Some(roster) = report.roster {
            known.roster = Arc::new(roster);
        }
        if !report.control.is_empty() {
            known.control = report.control;
        }
        if !report.programs.is_empty() {
            known.programs = report.programs;
        }
    });
    let known = member.known.borrow();
    let leader = known.programs.first().filter(|_| report.has_leader).map(String::as_str);
    member.leaders.place(PROGRAMS, &known.programs, leader);
    member.leaders.place(CONTROL, &known.control, None);
    drop(known);
    if !report.candidates.is_empty() {
        member.set_present(report.candidates, report.revision);
    }
}
