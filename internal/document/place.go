package document

// kind is the kind of an item of a section.
type kind uint8

const (
	noItem kind = iota
	serviceItem
	routeItem
)

// place names a part of a document: the whole, a section, an item of a section,
// a field of either, or an element of a list field. Indexes count from one, so
// that zero means that the place is not inside one.
type place struct {
	section int
	kind    kind
	item    int
	field   string
	element int
}

// parent returns the next larger part, and false for the whole document.
func (p place) parent() (place, bool) {
	switch {
	case p.element != 0:
		p.element = 0
	case p.field != "":
		p.field = ""
	case p.item != 0:
		p.item, p.kind = 0, noItem
	case p.section != 0:
		p.section = 0
	default:
		return p, false
	}
	return p, true
}

// in returns the place of a field of p.
func (p place) in(field string) place {
	p.field = field
	return p
}

// at returns the place of the element with index i (from zero) of p.
func (p place) at(i int) place {
	p.element = i + 1
	return p
}
