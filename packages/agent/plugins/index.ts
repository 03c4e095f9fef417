// Tasks start in this order; a task may use services of tasks before it.
import './worker-client.js';
import './execution.js';
import './run-request.js';
import './gang-reservations.js';
import './gang-reserve.js';
import './gang-commit.js';
import './gang-start.js';
import './gang-renew.js';
import './gang-stop.js';
import './gang-find.js';
import './announce.js';
