package document

// kind is the kind of an item of a section.
type itemKind uint8

const (
	noItem itemKind = iota
	serviceItem
	routeItem
)

// place names a part of a document: the whole, a section, an item of a section,
// a field of either, or an element of a list field. Indexes count from one, so
// that zero means that the place is not inside one.
type location struct {
	section  int
	itemKind itemKind
	item     int
	field    string
	element  int
}

// parent returns the next larger part, and false for the whole document.
func (p location) parent() (location, bool) {
	switch {
	case p.element != 0:
		p.element = 0
	case p.field != "":
		p.field = ""
	case p.item != 0:
		p.item, p.itemKind = 0, noItem
	case p.section != 0:
		p.section = 0
	default:
		return p, false
	}
	return p, true
}

// in returns the place of a field of p.
func (p location) withField(field string) location {
	p.field = field
	return p
}

// at returns the place of the element with index i (from zero) of p.
func (p location) withElement(i int) location {
	p.element = i + 1
	return p
}
