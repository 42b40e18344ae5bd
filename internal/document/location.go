package document

// itemKind is the kind of an item of a section.
type itemKind uint8

const (
	noItem itemKind = iota
	serviceItem
	routeItem
	organisationItem
)

// location identifies a part of a document: the whole document, a section, an
// item of a section, a field of one of these, or an element of a list field.
// Indexes start at one; zero means that the location is not inside such a part.
type location struct {
	section  int
	itemKind itemKind
	item     int
	field    string
	element  int
}

// parent returns the enclosing part, and false for the whole document.
func (l location) parent() (location, bool) {
	switch {
	case l.element != 0:
		l.element = 0
	case l.field != "":
		l.field = ""
	case l.item != 0:
		l.item, l.itemKind = 0, noItem
	case l.section != 0:
		l.section = 0
	default:
		return l, false
	}
	return l, true
}

// withField returns the location of a field of l.
func (l location) withField(field string) location {
	l.field = field
	return l
}

// withElement returns the location of the element of l with the zero-based index
// i.
func (l location) withElement(i int) location {
	l.element = i + 1
	return l
}
