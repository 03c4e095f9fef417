import {createActor, fromTransition} from 'xstate';
import type {Step} from '#core';
import type {
	Clock, EffectHandler, TaskDefinition, TaskHandle,
} from './types.js';

type Envelope<Message> = Readonly<{type: 'message'; message: Message}>;

/**
Starts a task as an actor that handles one message at a time. Effects are performed after the state has changed; messages sent meanwhile are queued in the mailbox.

@example
```
const counter = startTask(counterDefinition, {clock, perform(effect, send) {}});
counter.send({kind: 'add', amount: 1});
```
*/
export function startTask<State, Message, Effect>(
	definition: TaskDefinition<State, Message, Effect>,
	services: Readonly<{clock: Clock; perform: EffectHandler<Message, Effect>}>,
): TaskHandle<State, Message> {
	const {clock, perform} = services;
	const logic = fromTransition(
		// XState sends `xstate.stop` when the actor stops. It contains no message and must not repeat the effects of the last step.
		(step: Step<State, Effect>, envelope: Envelope<Message> | Readonly<{type: 'xstate.stop'}>) => envelope.type === 'message'
			? definition.receive(step.state, envelope.message, {now: clock.now(), monotonic: clock.monotonic()})
			: {state: step.state, effects: []},
		{state: definition.initialState, effects: []},
	);
	const actor = createActor(logic);
	const send = (message: Message) => {
		actor.send({type: 'message', message});
	};

	actor.subscribe(({context}) => {
		for (const effect of context.effects) {
			perform(effect, send);
		}
	});
	actor.start();

	return {
		name: definition.name,
		send,
		read: () => actor.getSnapshot().context.state,
		subscribe(listener) {
			const subscription = actor.subscribe(({context}) => {
				listener(context.state);
			});
			return () => {
				subscription.unsubscribe();
			};
		},
		stop() {
			actor.stop();
		},
	};
}
