//! The cases of the third review that are scripts, one by its number.

mod away;
mod log_reader;
mod no_tenants;
mod odd_entry;
mod stand;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (number, record) = match arguments.as_slice() {
        [_, number, record] => (number.as_str(), stand::Record::create(record)),
        _ => {
            eprintln!("usage: review-3 NUMBER RECORD");
            std::process::exit(2);
        }
    };
    stand::end_after(std::time::Duration::from_secs(110));
    let run = match number {
        "11" => log_reader::run,
        "12" => odd_entry::run,
        "13" => no_tenants::run,
        "15" => away::run,
        _ => {
            eprintln!("no case {number}");
            std::process::exit(2);
        }
    };
    // A panic means that the case couldn't run.
    let outcome = std::panic::catch_unwind(move || run(record));
    std::process::exit(match outcome {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    });
}
