//! The cases.

use crate::http::Answer;
use crate::world::{Role, Shared, Turn, World, random};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Largest body that the desired state of the pages' example allows, in bytes.
const MAX_BODY: usize = 4_194_304;

/// Length of an ordinary turn's input, in bytes; the sheet's mean is 17,000.
const ORDINARY_BODY: usize = 17_000;

/// Time in which a program should be finished, in milliseconds.
const FINISH_MS: u128 = 40_000;

/// Number of turns that consumers send at the same moment, to two fronts.
const CROWD: usize = 24;

/// Number of such moments.
const WAVES: usize = 6;

pub fn run(case: &str, folder: &str, trouble: bool) -> Result<bool, String> {
    match case {
        "chain" => chain(folder, trouble),
        "crowd" => crowd(folder, trouble),
        "crowd-chain" => crowd_chain(folder, trouble),
        "retire" => retire(folder, trouble),
        "room" => room(folder, trouble),
        "held" => held(folder, trouble),
        _ => Err(format!("no case {case}")),
    }
}

/// A body that begins with `name`, so that bodies differ.
fn body(name: &str, bytes: usize) -> Vec<u8> {
    let mut body = format!("{name}:").into_bytes();
    body.resize(bytes, b'x');
    body
}

fn note(world: &World, what: &str, id: &str, answer: &Answer) {
    let (runs, bytes) = world.runs(id);
    world.note(&format!("{what} {id}: {}; ran {runs} times with {bytes} bytes", answer.summary()));
}

/// Turns of one line, each with the largest body that is allowed. No turn but the first is sent
/// before the one that it continues from was answered whole.
fn chain(folder: &str, trouble: bool) -> Result<bool, String> {
    let world = World::start(folder, 3)?;
    world.configure(MAX_BODY)?;
    // `StableWindowMs` after the start.
    std::thread::sleep(Duration::from_secs(4));
    let bytes = if trouble { MAX_BODY } else { ORDINARY_BODY };
    let begun = Instant::now();
    let mut previous: Option<String> = None;
    let (mut first_turns, mut first_turns_run, mut is_half_full) = (0, 0, false);
    for number in 1..=6 {
        let mut answered = None;
        let (mut tries, mut reached) = (0, 0);
        while answered.is_none() && tries < 8 {
            tries += 1;
            let id = format!("t{number}-{tries}-{:x}", random());
            let front = &world.fronts()[tries % 2];
            let input = body(&id, bytes);
            let finish_ms = FINISH_MS.saturating_sub(begun.elapsed().as_millis());
            let previous = previous.as_deref();
            let turn = Turn {
                id: &id,
                program: "p-chain",
                previous,
                body: &input,
                is_kept: true,
                finish_ms,
            };
            let answer = world.turn(front, &turn);
            note(&world, &format!("turn {number} after {previous:?}"), &id, &answer);
            reached += usize::from(world.runs(&id).0 > 0);
            // An ordinary first turn beside it, on the other front.
            let other = format!("o{number}-{tries}-{:x}", random());
            let input = body(&other, ORDINARY_BODY);
            let ordinary = Turn {
                id: &other,
                program: &other,
                previous: None,
                body: &input,
                is_kept: true,
                finish_ms: FINISH_MS,
            };
            let beside = world.turn(&world.fronts()[(tries + 1) % 2], &ordinary);
            let (busy, slots) = world.load();
            note(
                &world,
                &format!("ordinary first turn, {busy} of {slots} slots in use"),
                &other,
                &beside,
            );
            first_turns += 1;
            first_turns_run += usize::from(world.runs(&other).0 > 0);
            is_half_full |= busy * 2 >= slots;
            if answer.is_success() {
                answered = Some(id);
            } else {
                std::thread::sleep(Duration::from_millis(250));
            }
        }
        if answered.is_none() {
            let within = begun.elapsed().as_millis() < FINISH_MS;
            world.note(&format!(
                "turn {number}: {reached} of {tries} tries reached a runner, {:.1} s after the program began; \
                 {first_turns_run} of {first_turns} ordinary first turns did; half full: {is_half_full}",
                begun.elapsed().as_secs_f64()
            ));
            let is_broken = reached == 0
                && tries >= 5
                && within
                && !is_half_full
                && first_turns_run * 10 >= first_turns * 9;
            world.note(if is_broken { "BROKEN LOST" } else { "not judged" });
            return Ok(!is_broken);
        }
        previous = answered;
    }
    Ok(true)
}

/// Whether fewer than two machines lost their processes three times, with the memory over the limit
/// or by themselves. Nothing else happens to any machine. Two are more than a tenth of those in use.
fn judge(world: &Shared) -> bool {
    world.note_peaks();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    let (over, ended) = (world.over.lock().unwrap().clone(), world.ended.lock().unwrap().clone());
    for name in over.iter().chain(&ended) {
        *counts.entry(name.clone()).or_default() += 1;
    }
    let often = counts.values().filter(|count| **count >= 3).count();
    world.note(&format!("ends of processes: {counts:?}; {often} machines with three or more"));
    if often >= 2 {
        world.note("BROKEN Fault");
    }
    often < 2
}

/// Sends turns at the same time to the fronts in turn; returns how many succeeded.
fn send_all(world: &Shared, wave: usize, bytes: usize, previous: Option<&str>) -> usize {
    let threads: Vec<_> = (0..CROWD)
        .map(|number| {
            let (world, previous) = (world.clone(), previous.map(str::to_owned));
            std::thread::spawn(move || {
                let id = format!("w{wave}-{number}-{:x}", random());
                let input = body(&id, bytes);
                let turn = Turn {
                    id: &id,
                    program: &id,
                    previous: previous.as_deref(),
                    body: &input,
                    is_kept: true,
                    finish_ms: FINISH_MS,
                };
                let answer = world.turn(&world.fronts()[number % 2], &turn);
                note(&world, "turn", &id, &answer);
                answer.is_success()
            })
        })
        .collect();
    threads
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .filter(|is_success| *is_success)
        .count()
}

/// Many first turns with the largest body at once, whole.
fn crowd(folder: &str, trouble: bool) -> Result<bool, String> {
    let world = World::start(folder, 3)?;
    world.configure(MAX_BODY)?;
    std::thread::sleep(Duration::from_secs(2));
    for wave in 1..=WAVES {
        let bytes = if trouble { MAX_BODY } else { ORDINARY_BODY };
        let served = send_all(&world, wave, bytes, None);
        world.note(&format!("wave {wave}: {served} of {CROWD} served"));
        // An ordinary turn beside the crowd, for the record.
        serve(&world, wave, None, Duration::from_millis(1));
        std::thread::sleep(Duration::from_secs(2));
    }
    Ok(judge(&world))
}

/// A line of three turns with large bodies, then many turns at once that continue from the last.
fn crowd_chain(folder: &str, trouble: bool) -> Result<bool, String> {
    let world = World::start(folder, 3)?;
    world.configure(MAX_BODY)?;
    std::thread::sleep(Duration::from_secs(2));
    let bytes = if trouble { MAX_BODY } else { ORDINARY_BODY };
    let mut previous: Option<String> = None;
    for number in 1..=3 {
        let id = format!("c{number}-{:x}", random());
        let input = body(&id, bytes);
        let turn = Turn {
            id: &id,
            program: "p-line",
            previous: previous.as_deref(),
            body: &input,
            is_kept: true,
            finish_ms: FINISH_MS,
        };
        let answer = world.turn(&world.fronts()[0], &turn);
        note(&world, "line", &id, &answer);
        if !answer.is_success() {
            return Err("the line was not built".to_owned());
        }
        previous = Some(id);
    }
    for wave in 1..=WAVES {
        let served = send_all(&world, wave, ORDINARY_BODY, previous.as_deref());
        world.note(&format!("wave {wave}: {served} of {CROWD} served"));
        // An ordinary turn beside the crowd, for the record.
        serve(&world, wave, None, Duration::from_millis(1));
        std::thread::sleep(Duration::from_secs(2));
    }
    Ok(judge(&world))
}

/// Store machines are emptied and taken away one after the other, as the operator does it; the moment
/// one is said to be done it is removed, and the store whose disk has lasted longest loses it.
fn retire(folder: &str, trouble: bool) -> Result<bool, String> {
    let world = World::start(folder, 4)?;
    world.configure(MAX_BODY)?;
    std::thread::sleep(Duration::from_secs(3));
    // Machines by the age of their disks, the oldest first.
    let mut stores: Vec<u8> = vec![4, 5, 6, 7];
    let mut next_host = 8;
    let mut previous: Option<String> = None;
    let mut round = 0;
    while world.elapsed() < Duration::from_secs(84) {
        round += 1;
        previous = serve(&world, round, previous.as_deref(), Duration::from_secs(10))
            .ok_or("turns aren't served before the disruption")?
            .into();
        let retired = stores[1];
        let path = format!("/api/retire/store-{retired}/start");
        let started = world.operate("POST", &path, "{\"DurationS\":10}", Duration::from_secs(5));
        if started.is_none_or(|answer| answer.status != 200) {
            return Err(format!("store-{retired} can't be retired"));
        }
        world.note(&format!("round {round}: store-{retired} is to be emptied"));
        let path = format!("/api/retire/store-{retired}/get");
        let asked = Instant::now();
        loop {
            let answer = world.operate("GET", &path, "", Duration::from_secs(2));
            if answer.is_some_and(|answer| String::from_utf8_lossy(&answer.body).contains("done")) {
                break;
            }
            if asked.elapsed() > Duration::from_secs(15) {
                return Err(format!("store-{retired} isn't done"));
            }
            std::thread::sleep(Duration::from_millis(25));
        }
        let lost = stores[0];
        world.kill(&format!("store-{retired}"));
        if trouble {
            world.kill(&format!("store-{lost}"));
        }
        world.remove(&format!("store-{retired}"));
        world.note(&format!("store-{retired} is done and removed with its disk"));
        if trouble {
            world.wipe(&format!("store-{lost}"));
            world.note(&format!("store-{lost} loses its disk"));
            std::thread::sleep(Duration::from_secs(1));
            world.restart(&format!("store-{lost}"));
            world.note(&format!("store-{lost} is back with an empty disk"));
        }
        stores.retain(|host| *host != retired && (!trouble || *host != lost));
        if trouble {
            stores.push(lost);
        }
        // `RecoveryS` after the machine is back.
        match serve(&world, round, previous.as_deref(), Duration::from_secs(12)) {
            Some(id) => previous = Some(id),
            None => {
                world.note("RecoveryS has passed since the machine is back");
                match serve(&world, round, previous.as_deref(), Duration::from_secs(8)) {
                    Some(id) => previous = Some(id),
                    None => {
                        world.note("BROKEN RECOVER: none of the turns sent after it is served");
                        return Ok(false);
                    }
                }
            }
        }
        world.add(Role::Store, next_host, false)?;
        stores.push(next_host);
        next_host += 1;
        // `CatchUpS` of the machine that is back and of the new one.
        std::thread::sleep(Duration::from_millis(5_000));
    }
    world.note(&format!("{round} rounds"));
    Ok(true)
}

/// Sends a turn until it is answered whole, for `patience` at most; returns its id.
fn serve(
    world: &World,
    round: usize,
    previous: Option<&str>,
    patience: Duration,
) -> Option<String> {
    let started = Instant::now();
    let mut tries = 0;
    while started.elapsed() < patience {
        tries += 1;
        let id = format!("r{round}-{tries}-{:x}", random());
        let input = body(&id, 2_000);
        let turn = Turn {
            id: &id,
            program: "p-retire",
            previous,
            body: &input,
            is_kept: true,
            finish_ms: FINISH_MS,
        };
        let answer = world.turn(&world.fronts()[tries % 2], &turn);
        note(world, "turn", &id, &answer);
        if answer.is_success() {
            return Some(id);
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    None
}

/// Requests of one kind: how many were sent and served.
#[derive(Default)]
struct Kind {
    sent: AtomicUsize,
    served: AtomicUsize,
}

impl Kind {
    fn count(&self, is_success: bool) {
        self.sent.fetch_add(1, Ordering::SeqCst);
        self.served.fetch_add(usize::from(is_success), Ordering::SeqCst);
    }

    /// Share that was served.
    fn share(&self) -> f64 {
        let sent = self.sent.load(Ordering::SeqCst).max(1);
        self.served.load(Ordering::SeqCst) as f64 / sent as f64
    }
}

/// Names of the kinds.
const KINDS: [&str; 3] = ["kept turns", "turns that aren't kept", "orders"];

/// Sends an ordinary request of a kind.
fn send_ordinary(world: &World, front: &str, kind: usize, id: &str) -> Answer {
    if kind == 2 {
        return world.order(front, id);
    }
    let (input, previous, is_kept) = (body(id, ORDINARY_BODY), None, kind == 0);
    let finish_ms = FINISH_MS;
    world.turn(front, &Turn { id, program: id, previous, body: &input, is_kept, finish_ms })
}

/// Pauses of ordinary consumers between two requests of each kind, in milliseconds. Programs call
/// about as many tools as they run turns.
const ORDINARY_PAUSES: [u64; 3] = [400, 400, 150];

/// Time at which a case of a whole day ends.
const DAY_END: Duration = Duration::from_secs(110);

/// One consumer sends turns with the largest body, one after the other, until four in a row are
/// refused, 60 at most. Others send ordinary requests of three kinds all the while, until long after the retention
/// of the large turns is over.
fn room(folder: &str, trouble: bool) -> Result<bool, String> {
    let world = World::start(folder, 3)?;
    world.configure(MAX_BODY)?;
    std::thread::sleep(Duration::from_secs(2));
    let kinds: Arc<[Kind; 3]> = Arc::default();
    let ordinary: Vec<_> = (0..3)
        .map(|kind| {
            let (world, kinds) = (world.clone(), kinds.clone());
            std::thread::spawn(move || {
                let (mut number, mut requests) = (0, Vec::new());
                while world.elapsed() < DAY_END {
                    number += 1;
                    let (world, kinds) = (world.clone(), kinds.clone());
                    requests.push(std::thread::spawn(move || {
                        let id = format!("k{kind}-{number}-{:x}", random());
                        let front = world.fronts()[number % 2].clone();
                        let answer = send_ordinary(&world, &front, kind, &id);
                        kinds[kind].count(answer.is_success());
                        note(&world, KINDS[kind], &id, &answer);
                    }));
                    std::thread::sleep(Duration::from_millis(ORDINARY_PAUSES[kind]));
                }
                requests.into_iter().for_each(|request| request.join().unwrap());
            })
        })
        .collect();
    let bytes = if trouble { MAX_BODY } else { ORDINARY_BODY };
    let (mut number, mut refused) = (0, 0);
    while number < 60 && refused < 4 {
        number += 1;
        let id = format!("large-{number}-{:x}", random());
        let (input, previous, is_kept) = (body(&id, bytes), None, true);
        let turn =
            Turn { id: &id, program: &id, previous, body: &input, is_kept, finish_ms: FINISH_MS };
        let answer = world.turn(&world.fronts()[number % 2], &turn);
        kinds[0].count(answer.is_success());
        note(&world, "large turn", &id, &answer);
        refused = if answer.is_success() { 0 } else { refused + 1 };
    }
    world.note(&format!("the consumer of the large turns leaves after {number}"));
    let left = world.elapsed();
    world.note("from here on there are only ordinary requests");
    ordinary.into_iter().for_each(|thread| thread.join().unwrap());
    world.note(&format!(
        "the day ended {:.0} s after the last large turn; they were to be kept for 60 s",
        (world.elapsed() - left).as_secs_f64()
    ));
    let all = Kind::default();
    for kind in kinds.iter() {
        all.sent.fetch_add(kind.sent.load(Ordering::SeqCst), Ordering::SeqCst);
        all.served.fetch_add(kind.served.load(Ordering::SeqCst), Ordering::SeqCst);
    }
    let mut held = true;
    for (name, kind) in KINDS.iter().zip(kinds.iter()) {
        let (sent, served) = (kind.sent.load(Ordering::SeqCst), kind.served.load(Ordering::SeqCst));
        let is_starved = kind.share() < all.share() / 4.0;
        world.note(&format!("{name}: {served} of {sent} served, starved: {is_starved}"));
        held &= !is_starved;
    }
    world.note(&format!("all requests: {:.3} served", all.share()));
    world.note_peaks();
    if !held {
        world.note("BROKEN Starved");
    }
    Ok(held)
}

/// Sends an order whose body stops just short of its end, and waits until it is refused.
fn stall(address: &str, id: &str, bytes: usize) -> std::io::Result<()> {
    let address = address.parse().map_err(std::io::Error::other)?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_write_timeout(Some(Duration::from_millis(500)))?;
    stream.set_read_timeout(Some(Duration::from_millis(2_900)))?;
    write!(
        stream,
        "POST /order/board HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 3000\r\nContent-Length: {bytes}\r\n\r\n"
    )?;
    stream.write_all(&vec![b'z'; bytes - 1])?;
    let mut answer = [0; 512];
    stream.read(&mut answer).map(drop)
}

/// Consumers stop just short of the end of their bodies and stay, while others run turns with the
/// largest answers of the sheet.
fn held(folder: &str, trouble: bool) -> Result<bool, String> {
    let world = World::start(folder, 3)?;
    world.configure(MAX_BODY)?;
    std::thread::sleep(Duration::from_secs(4));
    let end = world.elapsed() + Duration::from_secs(30);
    let mut threads = Vec::new();
    for number in (0..900_u64).filter(|_| trouble) {
        let world = world.clone();
        threads.push(std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(number * 37 % 2_000));
            let bytes = match number % 20 {
                0 => MAX_BODY,
                1..=9 => 300_000,
                _ => 24_000,
            };
            while world.elapsed() < end {
                let front = &world.fronts()[usize::from(number / 20 % 2 == 1)];
                let _ = stall(front, &format!("s{number}-{:x}", random()), bytes);
                std::thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    let counts: Arc<[AtomicUsize; 3]> = Arc::default();
    for number in 0..8 {
        let (world, counts) = (world.clone(), counts.clone());
        threads.push(std::thread::spawn(move || {
            while world.elapsed() < end {
                let id = format!("long{number}-{:x}", random());
                let (input, previous, is_kept) = (body(&id, ORDINARY_BODY), None, true);
                let turn = Turn {
                    id: &id,
                    program: &id,
                    previous,
                    body: &input,
                    is_kept,
                    finish_ms: FINISH_MS,
                };
                let answer = world.turn(&world.fronts()[number % 2], &turn);
                note(&world, "turn", &id, &answer);
                let is_broken_off = answer.status == 200 && world.runs(&id).0 > 0;
                let kind = if answer.is_success() { 0 } else { 1 + usize::from(!is_broken_off) };
                counts[kind].fetch_add(1, Ordering::SeqCst);
                std::thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    let [whole, broken, other] = [0, 1, 2].map(|kind| counts[kind].load(Ordering::SeqCst));
    world.note(&format!("whole {whole}, run and broken off {broken}, refused {other}"));
    world.note_peaks();
    Ok(broken <= 3)
}
