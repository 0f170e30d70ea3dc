package ffroute

//go:generate stringer -type=Severity,Entry -linecomment -output=finding_string.go

// Severity is how much a finding matters.
type Severity int

// Severities. A configuration with an error is not to be sent.
const (
	SeverityWarning Severity = iota // warning
	SeverityError                   // error
)

// Entry is the kind of entry of a configuration that a finding is about.
type Entry int

// Kinds of entry.
const (
	EntryTable   Entry = iota // table
	EntryRoute                // route
	EntryService              // service
	EntryLimits               // limits
)

// Field names a field of an entry, as in the struct types of this package.
type Field string

// Fields that findings are about.
const (
	FieldVersion       Field = "Version"
	FieldName          Field = "Name"
	FieldHost          Field = "Host"
	FieldPrefix        Field = "Prefix"
	FieldTimeout       Field = "Timeout"
	FieldObjective     Field = "Objective"
	FieldAttempts      Field = "Attempts"
	FieldSplit         Field = "Split"
	FieldColdTime      Field = "ColdTime"
	FieldColdPerSecond Field = "ColdPerSecond"
	FieldHeaderTimeout Field = "HeaderTimeout"
)

// Finding is something in a configuration that is wrong, or that its author may not mean.
type Finding struct {
	Severity Severity
	Entry    Entry
	// Index is the place of a route or service in its list.
	Index   int
	Field   Field
	Message string
}
