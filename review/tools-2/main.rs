//! Stand-ins for the platform, its model runners, its operator and its consumers, and the cases
//! of the second review that are scripts. Standard library only; `review/build-2.sh` builds it.
//!
//! Usage: `review-2 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case couldn't run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod http;
mod runner;
mod world;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-2 CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // Nothing that a case starts outlives it by long, whatever happens to the case.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(116));
        eprintln!("the case took too long");
        world::end();
        std::process::exit(2);
    });
    let outcome = std::panic::catch_unwind(|| cases::run(case, folder, trouble));
    world::end();
    std::process::exit(match outcome {
        Ok(Ok(true)) => 0,
        Ok(Ok(false)) => 1,
        Ok(Err(error)) => {
            eprintln!("the case couldn't run: {error}");
            2
        }
        Err(_) => 2,
    });
}
