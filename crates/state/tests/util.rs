//! Helpers for the tests of the state machines.

use state::machine::StateMachine;

/// Exported state of a state machine.
pub(crate) fn export_state(machine: &dyn StateMachine) -> Vec<u8> {
    let export = machine.export().unwrap();
    export.read(0, usize::try_from(export.size()).unwrap()).unwrap()
}

/// Transfers the state of one state machine to another in chunks of `len` bytes.
pub(crate) fn transfer_state(from: &dyn StateMachine, to: &mut dyn StateMachine, len: usize) {
    let export = from.export().unwrap();
    let mut import = to.importer().unwrap();
    let mut offset = 0;
    while offset < export.size() {
        let chunk = export.read(offset, len).unwrap();
        assert!(!chunk.is_empty() && chunk.len() <= len);
        import.receive(&chunk).unwrap();
        offset += chunk.len() as u64;
    }
    to.import(&import.finish().unwrap()).unwrap();
}
