package peer

import (
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
	"github.com/lovagedyke/lovagedyke/internal/revision"
	"github.com/lovagedyke/lovagedyke/internal/table"
)

// StatementMessage encodes a process's statement about the newest configuration
// revision; inForce is the revision that the process applies.
func StatementMessage(s revision.Statement, inForce uint64) *peerpb.Statement {
	m := &peerpb.Statement{
		Revision: s.Revision, InForce: inForce, Unsettled: s.Unresolved, Final: s.Final,
		TableKnown: s.TableKnown, TableRevision: s.TableRevision, TableAge: durationpb.New(s.TableAge),
	}
	for _, manager := range s.Managers {
		m.Managers = append(m.Managers, &peerpb.Identity{Name: manager.Name, Incarnation: manager.Incarnation})
	}
	return m
}

// Statement decodes the sender's statement about the newest configuration revision.
func Statement(from *peerpb.Identity, m *peerpb.Statement) revision.Statement {
	s := revision.Statement{
		From:     revision.Member{Name: from.GetName(), Incarnation: from.GetIncarnation()},
		Revision: m.GetRevision(), Unresolved: m.GetUnsettled(), Final: m.GetFinal(),
		TableKnown: m.GetTableKnown(), TableRevision: m.GetTableRevision(), TableAge: m.GetTableAge().AsDuration(),
	}
	for _, manager := range m.GetManagers() {
		s.Managers = append(s.Managers, revision.Member{Name: manager.GetName(), Incarnation: manager.GetIncarnation()})
	}
	return s
}

// ChangeMessage encodes a change of the configuration.
func ChangeMessage(c revision.Change) *peerpb.PushRequest {
	m := &peerpb.PushRequest{Base: c.Base, Revision: c.Revision, Whole: c.Whole}
	for _, row := range c.Rows {
		m.Rows = append(m.Rows, &peerpb.RowChange{Key: row.Key, Value: row.Value, Delete: row.Delete})
	}
	return m
}

// Change decodes a change of the configuration.
func Change(m *peerpb.PushRequest) revision.Change {
	c := revision.Change{Base: m.GetBase(), Revision: m.GetRevision(), Whole: m.GetWhole()}
	for _, row := range m.GetRows() {
		c.Rows = append(c.Rows, table.Write{Key: row.GetKey(), Value: row.GetValue(), Delete: row.GetDelete()})
	}
	return c
}
