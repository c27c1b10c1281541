package jobs

import (
	"context"
	"fmt"

	"github.com/qmuntal/stateless"
)

// Trigger is what moves a job from state to state.
type Trigger string

// The triggers of a job's life.
const (
	// Place: room was found and members are being reserved.
	Place Trigger = "Place"
	// Launch: all members run.
	Launch Trigger = "Launch"
	// Requeue: the attempt ended without a trace, so the job waits again.
	Requeue Trigger = "Yield"
	// Halt: the members are being stopped.
	Halt Trigger = "Halt"
	// Recover: a target that may run a member doesn't answer.
	Recover Trigger = "Doubt"
	// Finish: the outcome is recorded.
	Finish Trigger = "Finish"
)

// stateMachine is the one machine of all jobs. The record whose state it moves comes
// with the context, so a job costs no machine of its own.
var stateMachine = newStateMachine()

type recordKey struct{}

func newStateMachine() *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(c context.Context) (stateless.State, error) {
			return c.Value(recordKey{}).(*Record).State, nil
		},
		func(c context.Context, s stateless.State) error {
			c.Value(recordKey{}).(*Record).State = s.(State)
			return nil
		},
		stateless.FiringImmediate,
	)
	m.Configure(Waiting).Permit(Place, Starting).Permit(Recover, Settling).Permit(Finish, Finished).Permit(Launch, Running)
	m.Configure(Starting).Permit(Launch, Running).Permit(Requeue, Waiting).Permit(Halt, Stopping).Permit(Recover, Settling)
	m.Configure(Running).Permit(Halt, Stopping).Permit(Finish, Finished).Permit(Recover, Settling)
	m.Configure(Stopping).Permit(Requeue, Waiting).Permit(Finish, Finished).Permit(Recover, Settling)
	m.Configure(Settling).Permit(Requeue, Waiting).Permit(Launch, Running).Permit(Halt, Stopping).Permit(Finish, Finished)
	return m
}

// Fire moves the record by t. A trigger that the state doesn't permit is an
// error and changes nothing.
func (r *Record) Fire(t Trigger) error {
	c := context.WithValue(context.Background(), recordKey{}, r)
	if err := stateMachine.FireCtx(c, t); err != nil {
		return fmt.Errorf("job %s in state %s: %w", r.Spec.Key(), r.State, err)
	}
	return nil
}
