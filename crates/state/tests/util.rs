//! Shared by the tests of the machines.

use state::machine::StateMachine;

/// A machine's whole state.
pub(crate) fn whole(machine: &dyn StateMachine) -> Vec<u8> {
    let export = machine.export().unwrap();
    export.read(0, usize::try_from(export.size()).unwrap()).unwrap()
}

/// Moves a machine's state to another in parts of `len` bytes.
pub(crate) fn copy(from: &dyn StateMachine, to: &mut dyn StateMachine, len: usize) {
    let export = from.export().unwrap();
    let mut import = to.importer().unwrap();
    let mut offset = 0;
    while offset < export.size() {
        let part = export.read(offset, len).unwrap();
        assert!(!part.is_empty() && part.len() <= len);
        import.receive(&part).unwrap();
        offset += part.len() as u64;
    }
    to.import(&import.finish().unwrap()).unwrap();
}
