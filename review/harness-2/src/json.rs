//! A small JSON reader for the transactions that routers send to the store.

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    /// Returns a field of a table.
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Self::Table(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, it)| it),
            _ => None,
        }
    }

    /// Returns a text field; empty if it is missing.
    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }

    /// Returns a list field; empty if it is missing.
    pub fn list(&self, name: &str) -> &[Value] {
        match self.get(name) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }

    /// Returns a whole number field; 0 if it is missing.
    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Self::Number(number)) => *number as u64,
            _ => 0,
        }
    }
}

/// Parses a document; `None` if it is malformed.
pub fn parse(text: &str) -> Option<Value> {
    let mut reader = Reader {
        bytes: text.as_bytes(),
        at: 0,
    };
    reader.value()
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn expect(&mut self, byte: u8) -> Option<()> {
        let found = self.peek()?;
        self.at += 1;
        (found == byte).then_some(())
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let rest = &self.bytes[self.at..];
        self.at += word.len();
        rest.starts_with(word.as_bytes()).then_some(value)
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.text().map(Value::Text),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Value> {
        let start = self.at;
        while self
            .bytes
            .get(self.at)
            .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Value::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.expect(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            let character = char::from_u32(code)?;
                            bytes.extend(character.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.expect(b'[')?;
        let mut list = Vec::new();
        if self.peek()? == b']' {
            self.at += 1;
            return Some(Value::List(list));
        }
        loop {
            list.push(self.value()?);
            let next = self.peek()?;
            self.at += 1;
            match next {
                b',' => {}
                b']' => return Some(Value::List(list)),
                _ => return None,
            }
        }
    }

    fn table(&mut self) -> Option<Value> {
        self.expect(b'{')?;
        let mut fields = Vec::new();
        if self.peek()? == b'}' {
            self.at += 1;
            return Some(Value::Table(fields));
        }
        loop {
            self.peek()?;
            let key = self.text()?;
            self.expect(b':')?;
            fields.push((key, self.value()?));
            let next = self.peek()?;
            self.at += 1;
            match next {
                b',' => {}
                b'}' => return Some(Value::Table(fields)),
                _ => return None,
            }
        }
    }
}

/// Returns a text as a JSON string.
pub fn quoted(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            other if u32::from(other) < 32 => {
                quoted.push_str(&format!("\\u{:04x}", u32::from(other)))
            }
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}
