//! The list of live and leaving VMs. It lags and may be wrong, so that it is only a hint.

use fes_protocol::FastSet;
use fes_protocol::VmName;

/// State of a VM on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be taken away.
    Leaving,
}

/// A VM on the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmHint {
    /// The VM.
    pub vm: VmName,
    /// Its state.
    pub state: VmState,
}

/// The last list that was read. That a VM is missing from the list means nothing, and neither
/// does that it is on it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VmList {
    leaving: FastSet<VmName>,
}

impl VmList {
    /// Replaces the list.
    pub fn set(&mut self, hints: &[VmHint]) {
        let leaving = hints.iter().filter(|hint| hint.state == VmState::Leaving);
        self.leaving = leaving.map(|hint| hint.vm.clone()).collect();
    }

    /// Returns whether the list says that the VM will be taken away.
    #[must_use]
    pub fn is_leaving(&self, vm: &VmName) -> bool {
        self.leaving.contains(vm)
    }
}
