//! The names behind the policy's numbers.

/// The names behind the numbers by which the policy refers to classes, tenants, zones and machine
/// kinds: each number is an index into the list of names here.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// The request classes. Those of earlier settings, which requests may still be open under, come
    /// first.
    pub classes: Vec<String>,
    /// The number of the first class that clients may name.
    pub first_current_class: usize,
    /// The tenants.
    pub tenants: Vec<String>,
    /// The zones.
    pub zones: Vec<String>,
    /// The machine kinds.
    pub kinds: Vec<String>,
}

impl Names {
    /// The number of the class that clients mean by `name`.
    #[must_use]
    pub fn class_index(&self, name: &str) -> Option<u32> {
        let current = &self.classes[self.first_current_class..];
        index_of(current, name).map(|index| index + self.first_current_class as u32)
    }
}

/// The number of `name` among `names`.
#[must_use]
pub fn index_of(names: &[String], name: &str) -> Option<u32> {
    names.iter().position(|known| known == name).map(|index| index as u32)
}

/// Names after a change of settings: the earlier ones first, then the new ones that were not among
/// them.
pub(crate) struct MergedNames {
    pub(crate) names: Vec<String>,
    /// For each of the new names, its number among all.
    new_numbers: Vec<u32>,
}

impl MergedNames {
    /// Puts the earlier names before the new ones, so that every number in use keeps its meaning.
    pub(crate) fn of(earlier: &[String], new: Vec<String>) -> Self {
        let mut names = earlier.to_vec();
        let mut new_numbers = Vec::with_capacity(new.len());
        for name in new {
            let number = index_of(&names, &name).unwrap_or_else(|| {
                names.push(name);
                names.len() as u32 - 1
            });
            new_numbers.push(number);
        }
        MergedNames { names, new_numbers }
    }

    /// The number that the new settings' `number` has among all; one without a name stays.
    pub(crate) fn renumber(&self, number: u32) -> u32 {
        self.new_numbers.get(number as usize).copied().unwrap_or(number)
    }
}
