//! Names of states and events.

use std::fmt::Debug;
use std::hash::Hash;

/// A fixed set of state or event names in a chart file.
pub trait Label: Debug + Copy + Eq + Hash + 'static {
    /// All labels, in order of declaration.
    const ALL: &'static [Self];

    /// Returns the name as written in the file.
    fn name(self) -> &'static str;

    /// Returns the label with the name `name`.
    #[must_use]
    fn from_name(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|label| label.name() == name)
    }
}

/// Declares an enum of labels with their names in the chart file.
macro_rules! labels {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum $name {
            $($(#[$doc])* $variant,)*
        }

        impl $crate::Label for $name {
            const ALL: &'static [Self] = &[$(Self::$variant),*];

            fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }
        }
    };
}

pub(crate) use labels;
