package jsonstream

// place is what may come next within an object.
type place int

const (
	atFirstName  place = iota // a name, or the end of an object
	atName                    // a name
	atColon                   // the colon behind a name
	atFirstValue              // a value, or the end of an array
	atValue                   // a value
	atComma                   // a comma, or the end of an object or array
	inName                    // the rest of a name
	inNameEscape              // the character behind a backslash in a name
	inString                  // the rest of a string that is a value
	inEscape                  // the character behind a backslash in such a string
	inLiteral                 // the rest of a number, or of true, false or null
)

// syntax follows the form of one object byte by byte, so that one that can't end well is known at once.
type syntax struct {
	open  []byte // the objects and arrays that have not ended, each by its first byte
	place place
}

// newSyntax is of an object of which the first byte has come. The slice's room is used again.
func newSyntax(room []byte) syntax {
	return syntax{open: append(room[:0], '{'), place: atFirstName}
}

// isOver tells whether the object has ended.
func (s *syntax) isOver() bool { return len(s.open) == 0 }

// next takes a byte, and tells whether it may stand there.
func (s *syntax) next(c byte) bool {
	switch s.place {
	case inName, inString, inNameEscape, inEscape:
		return s.inText(c)
	case inLiteral:
		if isLiteral(c) {
			return true
		}
		s.place = atComma
	}
	if isSpace(c) {
		return true
	}
	switch s.place {
	case atFirstName, atName:
		return s.name(c)
	case atColon:
		s.place = atValue
		return c == ':'
	case atFirstValue, atValue:
		return s.value(c)
	}
	return s.comma(c)
}

// inText takes a byte of a name or string.
func (s *syntax) inText(c byte) bool {
	switch {
	case c < ' ':
		return false
	case s.place == inNameEscape:
		s.place = inName
	case s.place == inEscape:
		s.place = inString
	case c == '\\' && s.place == inName:
		s.place = inNameEscape
	case c == '\\':
		s.place = inEscape
	case c == '"' && s.place == inName:
		s.place = atColon
	case c == '"':
		s.place = atComma
	}
	return true
}

// name takes the first byte of a name, or the end of an object that has none.
func (s *syntax) name(c byte) bool {
	if c == '}' && s.place == atFirstName {
		s.close()
		return true
	}
	s.place = inName
	return c == '"'
}

// value takes the first byte of a value, or the end of an array that has none.
func (s *syntax) value(c byte) bool {
	switch {
	case c == '{':
		s.open = append(s.open, c)
		s.place = atFirstName
	case c == '[':
		s.open = append(s.open, c)
		s.place = atFirstValue
	case c == '"':
		s.place = inString
	case c == ']' && s.place == atFirstValue:
		s.close()
	default:
		s.place = inLiteral
		return isLiteral(c)
	}
	return true
}

// comma takes what stands behind a value.
func (s *syntax) comma(c byte) bool {
	within := s.open[len(s.open)-1]
	switch {
	case c == ',' && within == '{':
		s.place = atName
	case c == ',':
		s.place = atValue
	case c == '}' && within == '{', c == ']' && within == '[':
		s.close()
	default:
		return false
	}
	return true
}

// close ends the innermost object or array.
func (s *syntax) close() {
	s.open = s.open[:len(s.open)-1]
	s.place = atComma
}

// isLiteral tells whether a byte may stand in a number, or in true, false or null.
func isLiteral(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c == '-' || c == '+' || c == '.' || c == 'E'
}
