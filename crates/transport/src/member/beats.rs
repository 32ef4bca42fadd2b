//! Signs of life towards the control instances.

use crate::member::node::Member;
use crate::member::seat::{CONTROL, PROGRAMS};
use protocol::presence::{Beat, Held, Report};
use protocol::wire::{Request, Response};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time for a control instance to answer; some beats long.
const BEAT_TIMEOUT: Duration = Duration::from_millis(900);

/// Beats of an instance that knows nothing yet, in the time of one beat later.
const FIRST_BEATS: u32 = 3;

/// Sends beats for as long as the process runs.
pub(crate) async fn run(member: Arc<Member>) {
    loop {
        let beat = beat(&member);
        for address in member.control_addresses() {
            let (member, beat) = (member.clone(), beat.clone());
            tokio::spawn(async move {
                let request = Request::Beat(Box::new(beat));
                let answer = member.fabric.call(&address, &request, BEAT_TIMEOUT).await;
                if let Ok(Response::Report(report)) = answer {
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

fn beat(member: &Member) -> Beat {
    let settings = &member.settings;
    let is_leaving = member.is_leaving.load(Ordering::Relaxed);
    Beat {
        name: settings.name.clone(),
        address: settings.address.clone(),
        failure_domain: settings.failure_domain.clone(),
        role: settings.role,
        callers: settings.callers.clone(),
        is_ready: member.is_ready.load(Ordering::Relaxed) && !is_leaving,
        replica: held(member),
        revision: member.known.borrow().registry.revision,
        list: member.servers.borrow().list.as_ref().map_or(0, |held| held.digest),
        loads: member.loads.get().map(|loads| loads()).unwrap_or_default(),
    }
}

fn held(member: &Member) -> Option<Held> {
    let id = *member.id.get()?;
    let Some(handle) = member.handle() else {
        let (term, revision) = (0, 0);
        return Some(Held { id, is_leader: false, term, members: Vec::new(), revision });
    };
    let status = handle.status.borrow();
    let members = status.members.iter().map(|(_, address, _)| address.clone());
    Some(Held {
        id,
        is_leader: status.is_established,
        term: status.term,
        members: if status.is_settled { members.collect() } else { Vec::new() },
        revision: member.present_revision.load(Ordering::Relaxed),
    })
}

/// Takes what a control instance says.
fn take(member: &Member, from: &str, report: Report) {
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
    if report.list.is_some() || !report.loads.is_empty() {
        member.servers.send_modify(|known| {
            if let Some(relayed) = report.list {
                known.take(relayed);
            }
            known.loads = Arc::new(report.loads);
        });
    }
    member.known.send_modify(|known| {
        known.heard = Some(tokio::time::Instant::now());
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
