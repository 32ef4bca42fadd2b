//! Command line of `buckthornctl`. The doc comments of the types and fields are its help texts.

use argh::FromArgs;
use std::path::PathBuf;

/// Operates a buckthornshelf deployment.
#[derive(FromArgs)]
pub(crate) struct Arguments {
    /// operators' addresses of one or more instances, separated by commas
    #[argh(option, default = "String::from(\"127.0.0.1:7401\")")]
    pub(crate) operators: String,
    /// file that contains the operator's token
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

/// Applies, shows and lists change tickets.
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

/// Applies a change ticket.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct TicketApply {
    /// file that contains the ticket, as TOML, or as JSON if its name ends in .json
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// time to wait until the ticket is in force on every instance that may dispatch, in
    /// milliseconds; by default, return as soon as the ticket is accepted
    #[argh(option, default = "0")]
    pub(crate) wait: u64,
}

/// Shows whether a ticket is in force, and the objects that it changed.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct TicketShow {
    /// number of the ticket
    #[argh(positional)]
    pub(crate) number: u64,
}

/// Lists the most recent tickets.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct TicketList {}

/// Lists deployments with their failure domains, servers and placement weights.
#[derive(FromArgs)]
#[argh(subcommand, name = "deployment")]
pub(crate) struct Deployment {
    #[argh(subcommand)]
    pub(crate) action: ListAction,
}

/// Lists the configured backend servers.
#[derive(FromArgs)]
#[argh(subcommand, name = "server")]
pub(crate) struct Server {
    #[argh(subcommand)]
    pub(crate) action: ListAction,
}

/// Lists instances with their standing, epoch and address for callers.
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

/// Lists all objects of this kind.
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

/// Lists the programs of all deployments, or of one.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct ProgramList {
    /// list only the programs of this deployment
    #[argh(option)]
    pub(crate) deployment: Option<String>,
}

/// Shows a program with its budget and the backend servers that may hold memory for it.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct ProgramShow {
    /// deployment and name of the program, as DEPLOYMENT/PROGRAM
    #[argh(positional)]
    pub(crate) program: String,
}

/// Ends a program. A call in progress is settled with the outcome "unknown".
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub(crate) struct ProgramCancel {
    /// deployment and name of the program, as DEPLOYMENT/PROGRAM
    #[argh(positional)]
    pub(crate) program: String,
}

/// Lists and lifts quarantines of request content that crashes backend servers.
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

/// Lists the digests of quarantined content.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct QuarantineList {}

/// Lifts the quarantine of one content.
#[derive(FromArgs)]
#[argh(subcommand, name = "lift")]
pub(crate) struct QuarantineLift {
    /// digest of the content, as quarantine list shows it
    #[argh(positional)]
    pub(crate) digest: String,
}

/// Drains an instance: callers that ask for an entry instance are no longer directed to it.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    /// name of the instance
    #[argh(positional)]
    pub(crate) instance: String,
    /// end the drain, so that callers are directed to the instance again
    #[argh(switch)]
    pub(crate) undo: bool,
}

/// Prints the internal state of an instance as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "dump")]
pub(crate) struct Dump {
    /// name of the instance
    #[argh(positional)]
    pub(crate) instance: String,
    /// print only one section: summary, entry, control, journals or leases
    #[argh(option)]
    pub(crate) section: Option<String>,
}

/// Opens a program, sends one call and ends the program; needs --message or --arguments.
#[derive(FromArgs)]
#[argh(subcommand, name = "call")]
pub(crate) struct Call {
    /// deployment of the program
    #[argh(option)]
    pub(crate) deployment: String,
    /// service to call
    #[argh(option)]
    pub(crate) service: String,
    /// user message, for a model service
    #[argh(option)]
    pub(crate) message: Option<String>,
    /// arguments as JSON, for a tool service
    #[argh(option)]
    pub(crate) arguments: Option<String>,
    /// file that contains the caller's token
    #[argh(option)]
    pub(crate) caller_token_file: Option<PathBuf>,
    /// budget of the program, in tokens
    #[argh(option, default = "10000")]
    pub(crate) tokens: u64,
}

/// Shows the state of each instance: whether it responds, its lease, the configuration in force,
/// the groups that it leads, and its calls and queue.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}

/// Shows instances that find each other through seeds. --operators names the addresses at which
/// they serve metrics.
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

/// Lists the instances that send heartbeats to a control instance; --operators must name one.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct MemberList {}

/// Shows the configuration and the replica of each process that --operators names.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct MemberStatus {}

/// Shows request records. --operators names the addresses at which the entry instances serve
/// metrics.
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

/// Shows the record of a recent request: its route, attempts, backend server and outcome.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct RequestShow {
    /// id of the request
    #[argh(positional)]
    pub(crate) id: String,
}
