//! Builds INI files with ordered sections and keys.

use std::fmt;

/// Contents of an INI file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct IniText {
    sections: Vec<IniSection>,
}

/// One section of an [`IniText`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniSection {
    /// Name between the brackets.
    pub name: String,
    /// Keys and values in order.
    pub entries: Vec<IniEntry>,
}

/// One line of an [`IniSection`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniEntry {
    /// Left of the equals sign.
    pub key: String,
    /// Right of the equals sign.
    pub value: String,
}

impl IniText {
    /// Sets one value; a later value for the same key replaces the earlier one.
    ///
    /// ```
    /// let mut ini = sedgeridge_load::ini_text::IniText::default();
    /// ini.set("fair", "order", "fifo");
    /// assert_eq!(ini.to_string(), "[fair]\norder = fifo\n");
    /// ```
    pub fn set(&mut self, section: &str, key: &str, value: &(impl ToString + ?Sized)) {
        let value = value.to_string();
        let entries = &mut self.section_mut(section).entries;
        if let Some(entry) = entries.iter_mut().find(|e| e.key == key) {
            entry.value = value;
            return;
        }
        entries.push(IniEntry {
            key: key.to_owned(),
            value,
        });
    }

    /// Value of a key, if it was set.
    pub fn get(&self, section: &str, key: &str) -> Option<&str> {
        let section = self.sections.iter().find(|s| s.name == section)?;
        let entry = section.entries.iter().find(|e| e.key == key)?;
        Some(&entry.value)
    }

    fn section_mut(&mut self, name: &str) -> &mut IniSection {
        let known = self.sections.iter().position(|s| s.name == name);
        let index = known.unwrap_or_else(|| {
            self.sections.push(IniSection {
                name: name.to_owned(),
                entries: Vec::new(),
            });
            self.sections.len() - 1
        });
        &mut self.sections[index]
    }
}

impl fmt::Display for IniText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, section) in self.sections.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            writeln!(f, "[{}]", section.name)?;
            for entry in &section.entries {
                writeln!(f, "{} = {}", entry.key, entry.value)?;
            }
        }
        Ok(())
    }
}
