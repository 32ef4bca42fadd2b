//! Shared by the tests of the machines.

use state::machine::Machine;

/// A machine's whole state.
pub(crate) fn whole(machine: &dyn Machine) -> Vec<u8> {
    let export = machine.export().unwrap();
    export.read(0, usize::try_from(export.size()).unwrap()).unwrap()
}

/// Moves a machine's state to another in parts of `len` bytes.
pub(crate) fn copy(from: &dyn Machine, to: &mut dyn Machine, len: usize) {
    let export = from.export().unwrap();
    let mut import = to.importer().unwrap();
    let mut offset = 0;
    while offset < export.size() {
        let part = export.read(offset, len).unwrap();
        assert!(!part.is_empty() && part.len() <= len);
        import.take(&part).unwrap();
        offset += part.len() as u64;
    }
    to.import(&import.end().unwrap()).unwrap();
}
