//! Change of the settings while jobs are open.

use super::Dispatcher;
use crate::api::{RequestClass, Settings, top_priority};

impl Dispatcher {
    /// Applies new settings and keeps the learned statistics.
    ///
    /// Open jobs keep the class with which they arrived: class indexes never change, and the new
    /// classes follow all earlier ones. `predecessors` gives, for each new class, the index of the
    /// earlier class whose statistics it takes over.
    pub(super) fn change_settings(&mut self, mut settings: Settings, predecessors: &[Option<u32>]) {
        let old_classes = std::mem::take(&mut self.settings.classes);
        let new_classes = std::mem::replace(&mut settings.classes, old_classes);
        self.fleet.add_graphs(&new_classes);
        self.top_priority = top_priority(&new_classes);
        self.continue_statistics(&new_classes, predecessors);
        settings.classes.extend(new_classes);
        self.settings = settings;
    }

    fn continue_statistics(&mut self, new_classes: &[RequestClass], predecessors: &[Option<u32>]) {
        for number in 0..new_classes.len() {
            let earlier = predecessors.get(number).copied().flatten();
            let learned = earlier.and_then(|class| self.classes.get(class as usize));
            self.classes.push(learned.copied().unwrap_or_default());
        }
    }
}
