//! Command line.

use argh::FromArgs;
use std::path::PathBuf;

/// Operates a buckthornshelf deployment.
#[derive(FromArgs)]
pub(crate) struct Arguments {
    /// operators' addresses of some instances, separated by commas
    #[argh(option, default = "String::from(\"127.0.0.1:7401\")")]
    pub(crate) operators: String,
    /// file with the operator's token
    #[argh(option)]
    pub(crate) token_file: Option<PathBuf>,
    /// print JSON instead of tables
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Ticket(Ticket),
    Deployment(Deployment),
    Program(Program),
    Server(Server),
    Instance(Instance),
    Quarantine(Quarantine),
    Drain(Drain),
    Dump(Dump),
    Call(Call),
    Status(Status),
    Member(Member),
    Request(Request),
}

/// Applies and shows change tickets.
#[derive(FromArgs)]
#[argh(subcommand, name = "ticket")]
pub(crate) struct Ticket {
    #[argh(subcommand)]
    pub(crate) action: TicketAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum TicketAction {
    Apply(TicketApply),
    Show(TicketShow),
    List(TicketList),
}

/// Applies the ticket in a file, TOML or JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct TicketApply {
    /// the file
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// time to wait until the ticket is in force, in milliseconds
    #[argh(option, default = "0")]
    pub(crate) wait: u64,
}

/// Shows one ticket.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct TicketShow {
    /// its number
    #[argh(positional)]
    pub(crate) number: u64,
}

/// Lists the newest tickets.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct TicketList {}

/// Lists deployments and their rules.
#[derive(FromArgs)]
#[argh(subcommand, name = "deployment")]
pub(crate) struct Deployment {
    #[argh(subcommand)]
    pub(crate) action: ListAction,
}

/// Lists backend servers.
#[derive(FromArgs)]
#[argh(subcommand, name = "server")]
pub(crate) struct Server {
    #[argh(subcommand)]
    pub(crate) action: ListAction,
}

/// Lists instances.
#[derive(FromArgs)]
#[argh(subcommand, name = "instance")]
pub(crate) struct Instance {
    #[argh(subcommand)]
    pub(crate) action: ListAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum ListAction {
    List(List),
}

/// Lists all.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct List {}

/// Lists, shows and cancels programs.
#[derive(FromArgs)]
#[argh(subcommand, name = "program")]
pub(crate) struct Program {
    #[argh(subcommand)]
    pub(crate) action: ProgramAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum ProgramAction {
    List(ProgramList),
    Show(ProgramShow),
    Cancel(ProgramCancel),
}

/// Lists programs.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct ProgramList {
    /// only those of one deployment
    #[argh(option)]
    pub(crate) deployment: Option<String>,
}

/// Shows one program.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct ProgramShow {
    /// deployment and program, as DEPLOYMENT/PROGRAM
    #[argh(positional)]
    pub(crate) program: String,
}

/// Ends a program; a call under way is settled as unknown.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub(crate) struct ProgramCancel {
    /// deployment and program, as DEPLOYMENT/PROGRAM
    #[argh(positional)]
    pub(crate) program: String,
}

/// Lists and lifts quarantines.
#[derive(FromArgs)]
#[argh(subcommand, name = "quarantine")]
pub(crate) struct Quarantine {
    #[argh(subcommand)]
    pub(crate) action: QuarantineAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum QuarantineAction {
    List(QuarantineList),
    Lift(QuarantineLift),
}

/// Lists quarantined content by digest.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct QuarantineList {}

/// Lifts a quarantine.
#[derive(FromArgs)]
#[argh(subcommand, name = "lift")]
pub(crate) struct QuarantineLift {
    /// the content's digest
    #[argh(positional)]
    pub(crate) digest: String,
}

/// Takes an instance out of the answers to "which entry".
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    /// the instance
    #[argh(positional)]
    pub(crate) instance: String,
    /// put it back
    #[argh(switch)]
    pub(crate) undo: bool,
}

/// Prints the state of an instance as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "dump")]
pub(crate) struct Dump {
    /// the instance
    #[argh(positional)]
    pub(crate) instance: String,
    /// one of summary, entry, control, journals, leases
    #[argh(option)]
    pub(crate) section: Option<String>,
}

/// Runs one program with one call by hand.
#[derive(FromArgs)]
#[argh(subcommand, name = "call")]
pub(crate) struct Call {
    /// deployment
    #[argh(option)]
    pub(crate) deployment: String,
    /// service
    #[argh(option)]
    pub(crate) service: String,
    /// message for a model
    #[argh(option)]
    pub(crate) message: Option<String>,
    /// arguments for a tool, as JSON
    #[argh(option)]
    pub(crate) arguments: Option<String>,
    /// file with the caller's token
    #[argh(option)]
    pub(crate) caller_token_file: Option<PathBuf>,
    /// budget in tokens
    #[argh(option, default = "10000")]
    pub(crate) tokens: u64,
}

/// Shows who leads, who lags, who holds a lease, and the queues.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}

/// Looks at instances that find each other from seeds; --operators names the addresses of
/// their metrics.
#[derive(FromArgs)]
#[argh(subcommand, name = "member")]
pub(crate) struct Member {
    #[argh(subcommand)]
    pub(crate) action: MemberAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum MemberAction {
    List(MemberList),
    Status(MemberStatus),
}

/// Lists the instances that a control instance hears.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct MemberList {}

/// Shows configuration and replica of each process that is named.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct MemberStatus {}

/// Looks at requests; --operators names the addresses of the entries' metrics.
#[derive(FromArgs)]
#[argh(subcommand, name = "request")]
pub(crate) struct Request {
    #[argh(subcommand)]
    pub(crate) action: RequestAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum RequestAction {
    Show(RequestShow),
}

/// Shows how one of the last requests went.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct RequestShow {
    /// its id
    #[argh(positional)]
    pub(crate) id: String,
}
